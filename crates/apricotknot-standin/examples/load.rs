//! Load test of a fleet of processes at a user's size, or of one node against a direct connection.

use std::error::Error;
use std::time::Duration;

use apricotknot_standin::fleet::EnginePlan;
use apricotknot_standin::fleet::FleetHarness;
use apricotknot_standin::fleet::FleetSettings;
use apricotknot_standin::fleet::account_resource;
use apricotknot_standin::load::CompareSettings;
use apricotknot_standin::load::LoadSettings;
use apricotknot_standin::load::LoadTarget;
use apricotknot_standin::load::SiteProfile;
use apricotknot_standin::load::compare_direct;
use apricotknot_standin::load::run_load;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

/// Model that the engines serve.
const MODEL: &str = "standin";

/// Maximum median time that a node may add to the first token, in microseconds.
const MAX_ADDED_MICROS: i64 = 1_000;

/// Maximum memory of a node for one open idle stream, in bytes.
const MAX_STREAM_BYTES: u64 = 32 * 1_024;

/// Difference between the seeds of the warm-up and of the measured arrivals.
const WARM_UP_SEED_OFFSET: u64 = 1_000;

/// Maximum number of concurrent requests of one account.
const ACCOUNT_CONCURRENT: u32 = 10_000;

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn command() -> Command {
    let sites: Vec<&str> = SiteProfile::ALL.iter().map(|site| site.name).collect();
    let site = Arg::new("site")
        .long("site")
        .help("User whose sizes are simulated")
        .default_value("hokkaido")
        .value_parser(sites);
    let run = Command::new("run")
        .about("Sends seeded arrivals through nodes or directly to engines")
        .arg(site)
        .arg(number("seed", "Seed of the arrivals", "1"))
        .arg(number("seconds", "Time during which requests arrive", "30"))
        .arg(number("warm-seconds", "Time of the warm-up, whose outcomes are not counted", "10"))
        .arg(number("rate", "Requests a second", "20"))
        .arg(number("prefill", "Prompt tokens that an engine prefills a second", "40000"))
        .arg(number("step-ms", "Time between decode steps, in milliseconds", "20"))
        .arg(
            Arg::new("path")
                .long("path")
                .help("Send through the nodes, or directly to the engines in rotation")
                .default_value("nodes")
                .value_parser(["nodes", "direct"]),
        );
    let compare = Command::new("compare-direct")
        .about("Measures a node's latency, bytes and memory against a direct connection")
        .arg(number("requests", "Number of timed requests on each path", "2000"))
        .arg(number("prompt-tokens", "Number of tokens of each prompt", "1000"))
        .arg(number("streams", "Number of concurrently open streams", "1000"));
    Command::new("load")
        .about("Load tests on a fleet of processes")
        .subcommand_required(true)
        .subcommand(run)
        .subcommand(compare)
}

fn get(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    actix_rt::System::new().block_on(async {
        match matches.subcommand() {
            Some(("run", matches)) => run(matches).await,
            Some(("compare-direct", matches)) => compare(matches).await,
            _ => Ok(()),
        }
    })
}

async fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let name = matches.get_one::<String>("site").map_or("hokkaido", String::as_str);
    let site = SiteProfile::from_name(name).unwrap_or(SiteProfile::ALL[0]);
    let direct = matches.get_one::<String>("path").is_some_and(|path| path == "direct");
    let settings = LoadSettings {
        site,
        rate: get(matches, "rate") as f64,
        duration: Duration::from_secs(get(matches, "seconds")),
        seed: get(matches, "seed"),
        prefill_tokens_per_second: get(matches, "prefill"),
        step_interval: Duration::from_millis(get(matches, "step-ms")),
    };
    let keys: Vec<String> =
        (0..site.account_shares.len()).map(|index| format!("key-of-account-{index}")).collect();
    let mut fleet = FleetSettings::default().nodes(if direct { 0 } else { site.nodes });
    for index in 0..site.engines {
        let plan = EnginePlan::default()
            .model(MODEL)
            .data_centre(format!("dc-{}", index % site.data_centres + 1))
            .option("--prefill", get(matches, "prefill"))
            .option("--step-ms", get(matches, "step-ms"))
            .option("--restart-ms", 5_000);
        fleet = fleet.engine(plan);
    }
    for (index, key) in keys.iter().enumerate() {
        let account = account_resource(&format!("account-{index}"), key, ACCOUNT_CONCURRENT);
        fleet = fleet.resource(account);
    }
    let fleet = FleetHarness::start(fleet).await?;
    let nodes = fleet.nodes.iter().map(|node| node.callers);
    let engines = fleet.engines.iter().map(|engine| engine.address);
    let addresses = if direct { engines.collect() } else { nodes.collect() };
    let target = LoadTarget { addresses, model: MODEL.to_owned(), keys };
    let warm_up = LoadSettings {
        duration: Duration::from_secs(get(matches, "warm-seconds")),
        seed: settings.seed + WARM_UP_SEED_OFFSET,
        ..settings
    };
    run_load(warm_up, target.clone()).await;
    let recorder = run_load(settings, target).await;
    println!("{name}, {}, {settings:?}\n", if direct { "direct" } else { "nodes" });
    println!("{recorder}");
    if let Some(fault) =
        fleet.nodes.iter().map(|node| node.process.log_text()).find_map(first_error_line)
    {
        println!("first error in a log: {fault}\n");
    }
    print_engine_stats(&fleet).await?;
    Ok(())
}

fn first_error_line(log: String) -> Option<String> {
    log.lines().find(|line| line.contains("ERRO") || line.contains("panicked")).map(str::to_owned)
}

async fn print_engine_stats(fleet: &FleetHarness) -> Result<(), Box<dyn Error>> {
    let mut crashes = 0;
    let mut over_committed = 0;
    let mut peak = 0;
    for index in 0..fleet.engines.len() {
        let Ok(stats) = fleet.engine_stats(index).await else {
            println!("engine {index} did not answer");
            continue;
        };
        crashes += stats["crashes"].as_array().map_or(0, Vec::len);
        over_committed += stats["over_committed"].as_u64().unwrap_or(0);
        peak = peak.max(stats["committed_peak"].as_u64().unwrap_or(0));
    }
    println!("| engine crashes | steps over the memory bound | most committed, tokens |");
    println!("|---|---|---|\n| {crashes} | {over_committed} | {peak} |");
    Ok(())
}

async fn compare(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let count = |name: &str| usize::try_from(get(matches, name)).unwrap_or(usize::MAX);
    let report = compare_direct(CompareSettings {
        requests: count("requests"),
        prompt_tokens: count("prompt-tokens"),
        streams: count("streams"),
    })
    .await?;
    println!("{report}");
    let added = report.added_micros(0.5);
    let bytes = report.bytes_per_stream;
    println!("added at the median: {added} us of {MAX_ADDED_MICROS} allowed");
    println!("memory for each stream: {bytes} bytes of {MAX_STREAM_BYTES} allowed");
    if added > MAX_ADDED_MICROS || bytes > MAX_STREAM_BYTES {
        return Err("a bound was exceeded; see the report above".into());
    }
    Ok(())
}
