//! The command `report burn`, which shows the burn rates of the error budgets.

use std::sync::Arc;

use apricotknot_core::objectives::BurnReport;
use apricotknot_core::objectives::BurnSnapshot;
use apricotknot_core::objectives::NodeResponse;
use apricotknot_core::operators::StatusAnswer;
use awc::http::Method;
use futures::future::join_all;

use crate::client::ApiClient;
use crate::client::ClientError;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::report::burn_page;
use crate::report::burn_text;

/// Reads the counts of all nodes, merges them and shows the report; `html` is the path of a page.
pub(super) async fn report_burn(
    client: &ApiClient,
    html: Option<&str>,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let report = BurnReport::merge(&query_nodes(client).await?);
    if let Some(path) = html {
        let page = burn_page(&report)?;
        let written = std::fs::write(path, page);
        written.map_err(|source| ClientError::Output { path: path.to_owned(), source })?;
        eprintln!("wrote {path}");
    }
    match format {
        OutputFormat::Json => print_json(&report),
        OutputFormat::Table => {
            print!("{}", burn_text(&report));
            Ok(())
        },
    }
}

/// Queries the nodes of `--server`, and adds all other nodes of the fleet as missing.
async fn query_nodes(client: &ApiClient) -> Result<Vec<NodeResponse>, ClientError> {
    let status: StatusAnswer = client.call(Method::GET, "status", Vec::new()).await?;
    let queries = client.servers().iter().map(|server| query_node(client, server));
    let (reached, failed): (Vec<_>, Vec<_>) = join_all(queries)
        .await
        .into_iter()
        .partition(|read| matches!(read, NodeResponse::Reached(_)));
    let mut responses = reached;
    let mut missing_nodes = Vec::new();
    for node in status.nodes {
        let has_responded = responses.iter().any(|response| match response {
            NodeResponse::Reached(burn) => burn.node == node.node,
            NodeResponse::Missing { .. } => false,
        });
        if !has_responded {
            missing_nodes.push(node.node);
        }
    }
    // An address that failed belongs to one of the missing nodes, if there are any.
    if missing_nodes.is_empty() {
        responses.extend(failed);
        return Ok(responses);
    }
    let reason = missing_reason(&failed);
    let missing = |node| NodeResponse::Missing { node, reason: reason.clone() };
    responses.extend(missing_nodes.into_iter().map(missing));
    Ok(responses)
}

/// Returns why nodes are missing, with the failures of the addresses that were tried.
fn missing_reason(failed: &[NodeResponse]) -> Arc<str> {
    let failures = failed.iter().filter_map(|response| match response {
        NodeResponse::Missing { node, reason } => Some(format!("{node}: {reason}")),
        NodeResponse::Reached(_) => None,
    });
    let failures: Vec<_> = failures.collect();
    if failures.is_empty() {
        return "no --server given that is this node".into();
    }
    format!("no --server given that is this node and answers ({})", failures.join("; ")).into()
}

async fn query_node(client: &ApiClient, server: &str) -> NodeResponse {
    match client.read_from::<BurnSnapshot>(server, "burn").await {
        Ok(burn) => NodeResponse::Reached(burn),
        Err(error) => {
            let reason = error.to_string();
            let first = reason.lines().next().unwrap_or_default();
            NodeResponse::Missing { node: server.into(), reason: first.into() }
        },
    }
}
