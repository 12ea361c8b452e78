//! The `apricotknot` program, which runs a node or checks a settings file.

mod gateway;

use std::io::stderr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use apricotknot::NodeProcess;
use apricotknot::NodeSettings;
use apricotknot::settings::NodeIdentity;
use apricotknot::settings::SettingsError;
use apricotknot::telemetry::build_guarded_logger;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code for invalid settings or command-line arguments.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Exit code of a node that could not start, or that interrupted requests when it stopped.
pub(crate) const EXIT_NODE_FAILED: u8 = 1;

fn main() -> ExitCode {
    match build_command().get_matches().subcommand() {
        Some(("gateway", matches)) => gateway::run(&settings_path(matches)),
        Some(("check-gateway", matches)) => gateway::check(&settings_path(matches)),
        Some(("check", matches)) => check(&settings_path(matches)),
        Some(("run", matches)) => run(&settings_path(matches)),
        _ => ExitCode::from(EXIT_INVALID_SETTINGS),
    }
}

fn build_command() -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings file in INI");
    Command::new("apricotknot")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs one node of the apricotknot serving layer")
        .after_help("Resources (services, accounts, endpoints) are managed with `apricotctl`.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("run").about("Runs a node until SIGTERM").arg(file.clone()))
        .subcommand(Command::new("check").about("Checks a node's settings file").arg(file.clone()))
        .subcommand(
            Command::new("gateway").about("Runs a gateway node until SIGTERM").arg(file.clone()),
        )
        .subcommand(
            Command::new("check-gateway").about("Checks a gateway's settings file").arg(file),
        )
}

fn settings_path(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

fn check(file: &Path) -> ExitCode {
    match report_error(NodeSettings::read(file)) {
        Ok(settings) => report_valid(file, &settings.identity),
        Err(code) => code,
    }
}

/// Returns the settings that were read, or prints the error and returns the exit code for it.
fn report_error<T>(read: Result<T, SettingsError>) -> Result<T, ExitCode> {
    read.map_err(|error| {
        eprintln!("error: {error}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Prints that a settings file is valid.
fn report_valid(file: &Path, identity: &NodeIdentity) -> ExitCode {
    println!("{}: settings of node {} are valid", file.display(), identity.name);
    ExitCode::SUCCESS
}

fn run(file: &Path) -> ExitCode {
    let settings = match report_error(NodeSettings::read(file)) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let (logger, guard) = build_guarded_logger(&settings.log, &settings.identity, stderr());
    let node = match NodeProcess::start(&settings, logger) {
        Ok(node) => node,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(EXIT_NODE_FAILED);
        },
    };
    println!("callers on {}", node.caller_address());
    println!("operators on {}", node.operator_address());
    let code = actix_rt::System::new().block_on(run_until_stopped(node));
    guard.flush();
    code
}

async fn run_until_stopped(node: NodeProcess) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        eprintln!("error: signals cannot be received");
        return ExitCode::from(EXIT_NODE_FAILED);
    };
    let control = node.control();
    let is_asked = tokio::select! {
        () = wait_for_signal(&mut terminate, &mut interrupt) => true,
        // Without it the node serves nothing; the process ends, to be started again.
        () = control.ended() => false,
    };
    let interrupted = node.stop(wait_for_signal(&mut terminate, &mut interrupt)).await;
    if is_asked && interrupted == 0 { ExitCode::SUCCESS } else { ExitCode::from(EXIT_NODE_FAILED) }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {},
        _ = interrupt.recv() => {},
    }
}
