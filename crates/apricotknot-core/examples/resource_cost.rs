//! Measures the update time and the memory of the resource table for growing numbers of accounts.
//!
//! ```text
//! cargo run --release -p apricotknot-core --example resource_cost
//! ```

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use apricotknot_core::resources::AccountSpec;
use apricotknot_core::resources::ResourceRecord;
use apricotknot_core::resources::ResourceSpec;
use apricotknot_core::resources::ResourceTable;
use apricotknot_core::resources::ResourceUpdate;
use apricotknot_core::resources::UpdateBatch;

/// Numbers of accounts to measure.
const SIZES: [u64; 5] = [1_000, 4_000, 8_000, 16_000, 25_400];

/// Number of single changes that are measured for each size.
const CHANGES: u64 = 200;

fn main() -> Result<(), Box<dyn Error>> {
    println!("{:>9} {:>10} {:>10} {:>12} {:>12}", "resources", "load", "change", "json", "memory");
    for size in SIZES {
        measure(size)?;
    }
    Ok(())
}

fn measure(size: u64) -> Result<(), Box<dyn Error>> {
    let before = resident_bytes()?;
    let updates: Vec<_> = (1..=size).map(|number| account_update(number, number)).collect();
    let batch = UpdateBatch::complete(size, updates);
    let json_bytes = serde_json::to_vec(&batch)?.len();
    let mut table = ResourceTable::new();
    let started = Instant::now();
    table.apply(&batch)?;
    let load = started.elapsed();
    drop(batch);
    let change = mean_change_time(&mut table, size)?;
    let memory = resident_bytes()?.saturating_sub(before);
    println!("{size:>9} {load:>10.1?} {change:>10.1?} {json_bytes:>12} {memory:>12}");
    Ok(())
}

/// Returns the mean time of a change while a snapshot is in use, as on the traffic threads.
fn mean_change_time(table: &mut ResourceTable, size: u64) -> Result<Duration, Box<dyn Error>> {
    let mut snapshot = table.snapshot();
    let mut total = Duration::ZERO;
    for step in 1..=CHANGES {
        let revision = size + step;
        let updates = vec![account_update(step, revision)];
        let batch = UpdateBatch::incremental(revision - 1, revision, updates);
        let started = Instant::now();
        black_box(table.apply(&batch)?);
        total += started.elapsed();
        snapshot = table.snapshot();
    }
    black_box(snapshot);
    Ok(total / u32::try_from(CHANGES)?)
}

fn account_update(number: u64, revision: u64) -> ResourceUpdate {
    let key_digests = vec![format!("{number:064x}").into()];
    let weight = u32::try_from(revision % 1_000).unwrap_or_default() + 1;
    let spec = AccountSpec { key_digests, weight, ..AccountSpec::default() };
    let record = ResourceRecord::new(format!("account-{number}"), ResourceSpec::Account(spec));
    ResourceUpdate::present(record, revision)
}

/// Returns the resident memory of this process, with pages of 4 KiB.
fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = status.split_whitespace().nth(1).unwrap_or_default().parse()?;
    Ok(pages * 4_096)
}
