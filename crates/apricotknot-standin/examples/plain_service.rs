//! Runs a stand-in plain service as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::plain::PlainServer;
use apricotknot_standin::plain::PlainSettings;
use clap::Arg;
use clap::Command;
use clap::value_parser;

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_name("NUMBER")
        .default_value("0")
        .value_parser(value_parser!(u64))
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = Command::new("plain_service")
        .about("Stand-in plain service, which records each execution")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to listen on; port 0 selects a free port")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(number("delay-ms", "Time before each execution, in milliseconds"))
        .arg(number("late-every", "Every how many answers one is delayed; 0 for none"))
        .arg(number("late-ms", "Delay of a delayed answer, in milliseconds"))
        .arg(number("drop-every", "Every how many answers one is dropped; 0 for none"))
        .get_matches();
    let get = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let mut settings = PlainSettings::default()
        .delay(Duration::from_millis(get("delay-ms")))
        .late_answers(get("late-every"), Duration::from_millis(get("late-ms")))
        .drop_every(get("drop-every"));
    if let Some(address) = matches.get_one::<SocketAddr>("listen") {
        settings = settings.address(*address);
    }
    let server = PlainServer::start(settings)?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
