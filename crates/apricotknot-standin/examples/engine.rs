//! Runs a stand-in engine as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use apricotknot_standin::engine::EngineServer;
use apricotknot_standin::engine::EngineSettings;
use apricotknot_standin::engine::FencingMode;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn command() -> Command {
    Command::new("engine")
        .about(
            "Stand-in model engine with continuous batching; it crashes when a limit is exceeded",
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to listen on; port 0 selects a free port")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("model").long("model").help("Model to serve").default_value("standin"))
        .arg(number("memory-tokens", "Size of the key-value cache, in tokens", "400000"))
        .arg(number("max-running", "Maximum number of sequences in the batch", "64"))
        .arg(number("max-waiting", "Maximum number of queued sequences", "1024"))
        .arg(number("prefill", "Prompt tokens prefilled a second", "200000"))
        .arg(number("step-ms", "Time between decode steps, in milliseconds", "5"))
        .arg(number(
            "output-tokens",
            "Length of answers for which none is requested, in tokens",
            "32",
        ))
        .arg(number(
            "cold-ms",
            "Time for which the engine is cold after a start, in milliseconds",
            "0",
        ))
        .arg(number(
            "cold-memory-tokens",
            "Key-value cache above which a cold engine crashes, in tokens",
            "40000",
        ))
        .arg(number("cold-concurrent", "Sequences above which a cold engine crashes", "2"))
        .arg(number("load-lag-ms", "Age of load reports, in milliseconds", "500"))
        .arg(number(
            "detach-ms",
            "Time without a reader until cancellation, in milliseconds",
            "2000",
        ))
        .arg(number("chunk-padding", "Size of the padding in each streamed chunk, in bytes", "0"))
        .arg(number(
            "output-window",
            "Number of unread events at which a generation pauses",
            "65536",
        ))
        .arg(
            Arg::new("restart-ms")
                .long("restart-ms")
                .help("Restarts in place this long after a crash, instead of exiting")
                .value_name("MILLISECONDS")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .help("Executes orders and requests with an outdated fencing number")
                .action(ArgAction::SetTrue),
        )
}

fn settings(matches: &ArgMatches) -> EngineSettings {
    let get = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let count = |name: &str| usize::try_from(get(name)).unwrap_or(usize::MAX);
    let restart = matches.get_one::<u64>("restart-ms").copied().map(Duration::from_millis);
    let mut settings = EngineSettings::default()
        .memory_tokens(get("memory-tokens"))
        .max_running(count("max-running"))
        .max_waiting(count("max-waiting"))
        .prefill_tokens_per_second(get("prefill"))
        .step_interval(Duration::from_millis(get("step-ms")))
        .default_output_tokens(get("output-tokens"))
        .cold_period(Duration::from_millis(get("cold-ms")))
        .cold_memory_tokens(get("cold-memory-tokens"))
        .cold_concurrent(count("cold-concurrent"))
        .load_lag(Duration::from_millis(get("load-lag-ms")))
        .detach_grace(Duration::from_millis(get("detach-ms")))
        .output_window(count("output-window"))
        .chunk_padding(count("chunk-padding"))
        .exit_on_crash(restart.is_none())
        .restart_delay(restart);
    if let Some(address) = matches.get_one::<SocketAddr>("listen") {
        settings = settings.address(*address);
    }
    if let Some(model) = matches.get_one::<String>("model") {
        settings = settings.model(model.as_str());
    }
    if matches.get_flag("ignore-fencing") {
        settings = settings.fencing(FencingMode::Ignore);
    }
    settings
}

fn main() -> Result<(), Box<dyn Error>> {
    let server = EngineServer::start(settings(&command().get_matches()))?;
    println!("listening on {}", server.address());
    server.wait();
    Ok(())
}
