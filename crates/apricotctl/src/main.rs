//! Command line for the operators of apricotknot.

mod client;
mod command;
mod log_trace;
mod output;
mod report;

use std::process::ExitCode;

use command::build_cli;
use command::run;

fn main() -> ExitCode {
    let matches = build_cli().get_matches();
    let outcome = actix_rt::System::new().block_on(run(&matches));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        },
    }
}
