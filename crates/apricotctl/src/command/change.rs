//! The commands `drain`, `undrain` and `delete`.

use apricotknot_core::operators::DeleteAnswer;
use apricotknot_core::operators::WriteAnswer;
use apricotknot_core::resources::ResourceKey;
use awc::http::Method;

use crate::client::ApiClient;
use crate::client::ClientError;
use crate::output::OutputFormat;
use crate::output::TextTable;
use crate::output::print_json;

/// Names a change of one resource.
#[derive(Clone, Copy, Debug)]
pub(super) enum ChangeCommand {
    /// Sends no new work to the resource.
    Drain {
        /// Only shows the capacity that would be left, and changes nothing.
        dry_run: bool,
    },
    /// Sends new work to the resource again.
    Undrain,
    /// Deletes the resource.
    Delete {
        /// Generation that the resource must have; `None` deletes any.
        generation: Option<u64>,
    },
}

/// Changes one resource and shows the result.
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

/// Prints the capacity of each service that the change affects.
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
