//! Drains, undrains and deletes resources.

use apricotknot_core::operators::DeleteAnswer;
use apricotknot_core::operators::WriteAnswer;
use apricotknot_core::resources::ResourceKey;
use awc::http::Method;

use crate::client::ApiClient;
use crate::client::ClientError;
use crate::output::OutputFormat;
use crate::output::TextTable;
use crate::output::print_json;

/// Says how a resource is to be changed.
#[derive(Clone, Copy, Debug)]
pub(super) enum ChangeCommand {
    /// Stop new work.
    Drain {
        /// Only show what would be left.
        dry_run: bool,
    },
    /// Let new work go there again.
    Undrain,
    /// Delete it.
    Delete {
        /// Version to delete, or any.
        generation: Option<u64>,
    },
}

/// Changes one resource and shows the answer.
pub(super) async fn change(
    client: &ApiClient,
    key: &ResourceKey,
    command: ChangeCommand,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let path = match command {
        ChangeCommand::Drain { dry_run } => format!("{key}/drain?dry_run={dry_run}"),
        ChangeCommand::Undrain => format!("{key}/undrain"),
        ChangeCommand::Delete { generation } => {
            return delete(client, key, generation, format).await;
        },
    };
    let answer: WriteAnswer = client.call(Method::POST, &path, Vec::new()).await?;
    if format == OutputFormat::Json {
        return print_json(&answer);
    }
    let result_text = match (command, answer.changed) {
        (ChangeCommand::Drain { dry_run: true }, _) => "would be drained; nothing was changed",
        (ChangeCommand::Undrain, true) => "is back in duty",
        (ChangeCommand::Undrain, false) => "was in duty already",
        (_, true) => "gets no new work; `apricotctl status` tells on how many nodes",
        (_, false) => "was drained already",
    };
    println!("{key} {result_text} (generation {})", answer.record.generation);
    print_outlook(&answer);
    for warning in &answer.warnings {
        eprintln!("warning: {warning}");
    }
    Ok(())
}

async fn delete(
    client: &ApiClient,
    key: &ResourceKey,
    generation: Option<u64>,
    format: OutputFormat,
) -> Result<(), ClientError> {
    let query = generation.map(|generation| format!("?generation={generation}"));
    let path = format!("{key}{}", query.unwrap_or_default());
    let answer: DeleteAnswer = client.call(Method::DELETE, &path, Vec::new()).await?;
    if format == OutputFormat::Json {
        return print_json(&answer);
    }
    println!("{} is deleted", answer.key);
    Ok(())
}

fn print_outlook(answer: &WriteAnswer) {
    if answer.outlook.is_empty() {
        return;
    }
    let mut table = TextTable::new(["SERVICE", "ENDPOINTS", "AT-ONCE", "MEMORY-TOKENS", "LEFT"]);
    for outlook in &answer.outlook {
        table.add_row([
            outlook.service.to_string(),
            format!("{} of {}", outlook.endpoints_left, outlook.endpoints_now),
            format!("{} of {}", outlook.concurrent_left, outlook.concurrent_now),
            format!("{} of {}", outlook.memory_left, outlook.memory_now),
            format!("{}%", outlook.left_permille() / 10),
        ]);
    }
    print!("{table}");
}
