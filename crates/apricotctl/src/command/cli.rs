//! Arguments and help texts of the command line.

use apricotknot_core::resources::ResourceKind;
use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::builder::PossibleValuesParser;

/// Default address of a node's operators' API.
const DEFAULT_SERVER: &str = "127.0.0.1:9090";

const EXIT_HELP: &str = "\
Exit status:
  0  done
  1  refused; nothing was changed
  2  wrong usage, or a file with a fault
  3  conflict: another operator changed the resource first
  4  unknown: the change may have been made
  5  no node could be reached

Environment:
  APRICOTCTL_SERVER  addresses of nodes, separated by commas, where --server is not given
  APRICOTCTL_TOKEN   token, where --token is not given; keeps it out of the process list";

const APPLY_HELP: &str = r#"A file holds one record, a list of records, or an object with "items":

  {"kind": "service", "name": "assistant", "spec": {
    "mode": {"model": {"max_context_tokens": 2000000}},
    "objectives": [{"class": "short", "first_token_ms": 570,
                    "between_tokens_ms": 42, "good_permille": 950}]}}

Fields of a spec by kind:
  account      weight, max_concurrent, tokens_per_second, key_digests
  admission    default_max_tokens, queue_timeout_ms, request_timeout_ms, max_queued,
               short_reserve_permille, max_archives_per_engine
  data-centre  region, duty
  endpoint     service, data_centre, address, memory_tokens, max_concurrent,
               cold_memory_tokens, cold_concurrent, duty
  service      mode, objectives

A record with a "generation" is written only on that version; without one, on the version
that is read just before. Either way no change of another operator is overwritten unseen."#;

/// Builds the command line.
pub(crate) fn build_cli() -> Command {
    Command::new("apricotctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Creates, changes and watches the resources of apricotknot")
        .after_help(EXIT_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(server_arg())
        .arg(token_arg())
        .arg(output_arg())
        .subcommand(apply_command())
        .subcommand(
            Command::new("get")
                .about("Lists the resources of a kind, or shows one")
                .arg(kind_arg())
                .arg(name_arg().required(false)),
        )
        .subcommand(resource_command("describe", "Shows every field of a resource"))
        .subcommand(watch_command())
        .subcommand(
            resource_command("drain", "Stops new work to a data centre or an endpoint").arg(
                Arg::new("dry-run")
                    .long("dry-run")
                    .action(ArgAction::SetTrue)
                    .help("Only show the capacity that would be left"),
            ),
        )
        .subcommand(resource_command(
            "undrain",
            "Lets new work go to a data centre or an endpoint again",
        ))
        .subcommand(
            resource_command("delete", "Deletes a resource that nothing refers to").arg(
                Arg::new("generation")
                    .long("generation")
                    .value_name("NUMBER")
                    .value_parser(clap::value_parser!(u64))
                    .help("Delete only this version"),
            ),
        )
        .subcommand(Command::new("status").about("Shows what is in force on how many nodes"))
        .subcommand(explain_command())
        .subcommand(report_command())
}

fn server_arg() -> Arg {
    Arg::new("server")
        .long("server")
        .short('s')
        .value_name("ADDRESS")
        .action(ArgAction::Append)
        .global(true)
        .help(format!(
            "IP:PORT of a node's operators' interface; repeat it for others to turn to \
             [default: {DEFAULT_SERVER}]"
        ))
}

fn token_arg() -> Arg {
    Arg::new("token")
        .long("token")
        .value_name("TOKEN")
        .global(true)
        .help("Token of the operator [env: APRICOTCTL_TOKEN]")
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .short('o')
        .value_name("FORMAT")
        .value_parser(["table", "json"])
        .default_value("table")
        .global(true)
        .help("Form of the output")
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Creates or changes the resources of a file")
        .after_help(APPLY_HELP)
        .arg(
            Arg::new("file")
                .long("file")
                .short('f')
                .value_name("FILE")
                .required(true)
                .help("JSON file, or - for standard input"),
        )
}

fn watch_command() -> Command {
    Command::new("watch")
        .about("Shows changes as they come into force on the node")
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("REVISION")
                .value_parser(clap::value_parser!(u64))
                .help("Start after this revision [default: show all resources first]"),
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("End after the first answer"),
        )
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Shows where a request ran, and why")
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .required(true)
                .help("Value of the answer's x-request-id header; with --by, another id or name"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("PATH")
                .action(ArgAction::Append)
                .help("Search these log files of nodes, or all files of a directory, instead"),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .value_name("KIND")
                .requires("logs")
                .value_parser(["request", "endpoint", "data-centre", "version"])
                .default_value("request")
                .help("What to search the logs for"),
        )
}

fn report_command() -> Command {
    let burn = Command::new("burn")
        .about("Shows how fast the error budgets burn, joined over all nodes given by --server")
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .help("Also write a page with plots, which needs no other file"),
        );
    Command::new("report")
        .about("Reports on service levels")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(burn)
}

/// Returns a command whose arguments are the kind and the name of a resource.
fn resource_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(kind_arg()).arg(name_arg())
}

fn kind_arg() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .value_parser(PossibleValuesParser::new(ResourceKind::ALL.map(ResourceKind::name)))
        .help("Kind of resource")
}

fn name_arg() -> Arg {
    Arg::new("name").value_name("NAME").required(true).help("Name of the resource")
}

/// Returns the given addresses, else those in `APRICOTCTL_SERVER`, else the default address.
pub(super) fn resolve_servers(given: Vec<String>) -> Vec<String> {
    if !given.is_empty() {
        return given;
    }
    let text = std::env::var("APRICOTCTL_SERVER").unwrap_or_else(|_| DEFAULT_SERVER.to_owned());
    text.split(',').map(|server| server.trim().to_owned()).collect()
}
