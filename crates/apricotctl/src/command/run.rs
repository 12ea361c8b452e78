//! Dispatch of the command line to its commands.

use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use clap::ArgMatches;

use super::apply::apply;
use super::burn::report_burn;
use super::change::ChangeCommand;
use super::change::change;
use super::cli::resolve_servers;
use super::show::describe;
use super::show::explain;
use super::show::explain_from_logs;
use super::show::get;
use super::show::status;
use super::show::watch;
use crate::client::ApiClient;
use crate::client::ClientError;
use crate::log_trace::LogSelector;
use crate::output::OutputFormat;

/// Runs the command that the arguments name.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), ClientError> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    let (client, format) = (build_client(arguments), output_format(arguments));
    match name {
        "apply" => apply(&client, string_argument(arguments, "file"), format).await,
        "get" => get(&client, kind_argument(arguments), name_argument(arguments), format).await,
        "describe" => describe(&client, &key_argument(arguments), format).await,
        "watch" => {
            let after = arguments.get_one("after").copied().unwrap_or_default();
            watch(&client, after, arguments.get_flag("once"), format).await
        },
        "drain" => {
            let dry_run = arguments.get_flag("dry-run");
            change(&client, &key_argument(arguments), ChangeCommand::Drain { dry_run }, format)
                .await
        },
        "undrain" => {
            change(&client, &key_argument(arguments), ChangeCommand::Undrain, format).await
        },
        "delete" => {
            let generation = arguments.get_one("generation").copied();
            let command = ChangeCommand::Delete { generation };
            change(&client, &key_argument(arguments), command, format).await
        },
        "status" => status(&client, format).await,
        "explain" => match arguments.get_many::<String>("logs") {
            Some(logs) => {
                let by = string_argument(arguments, "by");
                let selector = LogSelector::new(by, string_argument(arguments, "request"));
                explain_from_logs(&logs.cloned().collect::<Vec<_>>(), &selector, format)
            },
            None => explain(&client, string_argument(arguments, "request"), format).await,
        },
        "report" => match arguments.subcommand() {
            Some((_, arguments)) => {
                let html = arguments.get_one::<String>("html").map(String::as_str);
                report_burn(&build_client(arguments), html, output_format(arguments)).await
            },
            None => Ok(()),
        },
        _ => Ok(()),
    }
}

fn build_client(arguments: &ArgMatches) -> ApiClient {
    let servers = arguments.get_many::<String>("server").unwrap_or_default().cloned().collect();
    let token = arguments.get_one::<String>("token").cloned();
    let token = token.or_else(|| std::env::var("APRICOTCTL_TOKEN").ok()).unwrap_or_default();
    ApiClient::new(resolve_servers(servers), token)
}

fn output_format(arguments: &ArgMatches) -> OutputFormat {
    match string_argument(arguments, "output") {
        "json" => OutputFormat::Json,
        _ => OutputFormat::Table,
    }
}

fn string_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

fn kind_argument(arguments: &ArgMatches) -> ResourceKind {
    // The argument parser accepts only names of kinds, so the default is never used.
    ResourceKind::from_name(string_argument(arguments, "kind")).unwrap_or(ResourceKind::Account)
}

fn name_argument(arguments: &ArgMatches) -> Option<&str> {
    arguments.get_one::<String>("name").map(String::as_str)
}

fn key_argument(arguments: &ArgMatches) -> ResourceKey {
    ResourceKey::new(kind_argument(arguments), string_argument(arguments, "name"))
}
