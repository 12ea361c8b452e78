//! The commands `get`, `describe`, `watch`, `status` and `explain`.

use apricotknot_core::operators::ListAnswer;
use apricotknot_core::operators::RequestExplanation;
use apricotknot_core::operators::StatusAnswer;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;
use apricotknot_core::resources::UpdateState;
use apricotknot_core::types::RevisionNumber;
use awc::http::Method;

use crate::client::ApiClient;
use crate::client::ClientError;
use crate::log_trace::LogSelector;
use crate::log_trace::print_trace;
use crate::log_trace::read_logs;
use crate::output::OutputFormat;
use crate::output::TextTable;
use crate::output::describe_record;
use crate::output::print_json;
use crate::output::record_table;
use crate::output::spec_summary;

/// Lists the resources of a kind, or shows one.
pub(super) async fn get(
    client: &ApiClient,
    kind: ResourceKind,
    name: Option<&str>,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let path = name.map_or_else(|| kind.to_string(), |name| format!("{kind}/{name}"));
    let list: ListAnswer = client.call(Method::GET, &path, Vec::new()).await?;
    match format {
        OutputFormat::Json => print_json(&list),
        OutputFormat::Table if list.items.is_empty() => {
            println!("there is no {kind} (revision {})", list.revision);
            Ok(())
        },
        OutputFormat::Table => {
            print!("{}", record_table(kind, &list.items));
            Ok(())
        },
    }
}

/// Shows every field of a resource.
pub(super) async fn describe(
    client: &ApiClient,
    key: &ResourceKey,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let list: ListAnswer = client.call(Method::GET, &key.to_string(), Vec::new()).await?;
    if format == OutputFormat::Json {
        return print_json(&list.items);
    }
    for record in &list.items {
        print!("{}", describe_record(record)?);
    }
    Ok(())
}

/// Shows changes as they come into force on the node, after the revision `after`.
///
/// Runs until a call fails, or ends after the first answer if `once` is set.
pub(super) async fn watch(
    client: &ApiClient,
    after: RevisionNumber,
    once: bool,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let mut after = after;
    loop {
        let path = format!("watch?after={after}");
        let batch: UpdateBatch = client.call(Method::GET, &path, Vec::new()).await?;
        for update in &batch.updates {
            match format {
                OutputFormat::Json => print_json(update)?,
                OutputFormat::Table => println!("{}", describe_update(update)),
            }
        }
        after = after.max(batch.revision);
        if once {
            return Ok(());
        }
    }
}

fn describe_update(update: &ResourceUpdate) -> String {
    let state = match &update.state {
        UpdateState::Present(record) => format!("present  {}", spec_summary(&record.spec)),
        UpdateState::Removed => "removed".to_owned(),
        UpdateState::Unreadable => "unreadable; the last good version stays in force".to_owned(),
    };
    format!("{:<10} {}  {state}", update.revision, update.key)
}

/// Shows which revision is in force on how many nodes.
pub(super) async fn status(client: &ApiClient, format: OutputFormat) -> Result<(), ClientError> {
    let answer: StatusAnswer = client.call(Method::GET, "status", Vec::new()).await?;
    if format == OutputFormat::Json {
        return print_json(&answer);
    }
    let newest = answer.newest_revision();
    println!(
        "revision {newest} is in force on {} of {} nodes",
        answer.up_to_date_nodes(),
        answer.nodes.len()
    );
    let mut table = TextTable::new(["NODE", "DATA-CENTRE", "REVISION", "STATE"]);
    for node in &answer.nodes {
        let state = match (node.revision, &node.reason) {
            (Some(revision), _) if revision == newest => "in force".to_owned(),
            (_, Some(reason)) => reason.to_string(),
            (Some(_), None) => "behind".to_owned(),
            (None, None) => "not heard of".to_owned(),
        };
        let revision = node.revision.map_or_else(|| "-".to_owned(), |found| found.to_string());
        table.add_row([node.node.to_string(), node.data_centre.to_string(), revision, state]);
    }
    print!("{table}");
    print_store_status(&answer);
    Ok(())
}

/// Prints the state of the store and warnings about resources.
fn print_store_status(answer: &StatusAnswer) {
    let store = &answer.store;
    let state = if store.reachable { "reachable" } else { "not reachable" };
    println!("store: {state}, {} calls, {} failed", store.calls, store.failures);
    if let Some(failure) = &store.last_failure {
        println!("store: last failure: {failure}");
    }
    for key in &answer.unreadable {
        eprintln!("warning: {key} cannot be read; its last good version stays in force");
    }
    for endpoint in &answer.dangling {
        eprintln!("warning: endpoint {endpoint} refers to what does not exist; it gets no work");
    }
}

/// Shows the decisions about a request, from the first node that knows it.
///
/// # Errors
///
/// Returns the error of the last node if none knows the request.
pub(super) async fn explain(
    client: &ApiClient,
    request: &str,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let path = format!("explain/{request}");
    let mut last_error = None;
    for server in client.servers() {
        match client.read_from::<RequestExplanation>(server, &path).await {
            Ok(explanation) => return print_explanation(&explanation, format),
            Err(error) => last_error = Some(error),
        }
    }
    last_error.map_or(Ok(()), Err)
}

/// Shows what logs hold about a request, an endpoint, a data centre or a version.
pub(super) fn explain_from_logs(
    paths: &[String],
    selector: &LogSelector,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let trace = read_logs(paths, selector)?;
    match format {
        OutputFormat::Json => print_json(&trace),
        OutputFormat::Table => {
            print_trace(&trace);
            Ok(())
        },
    }
}

fn print_explanation(
    explanation: &RequestExplanation,
    format: OutputFormat,
) -> Result<(), ClientError> {
    if format == OutputFormat::Json {
        return print_json(explanation);
    }
    println!("request {} on node {}", explanation.request, explanation.node);
    let mut table = TextTable::new(["AFTER", "DECISION", "REASON"]);
    for step in &explanation.steps {
        let after = format!("{} ms", step.after_ms);
        table.add_row([after, step.decision.to_string(), step.reason.to_string()]);
    }
    print!("{table}");
    Ok(())
}
