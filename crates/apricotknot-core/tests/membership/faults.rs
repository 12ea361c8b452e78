//! Faults and changes that the fuzz test applies to a simulated fleet.

use std::time::Duration;

use apricotknot_core::membership::DrainSubject;
use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;

use crate::fleet::Fleet;

/// Applies one event that `input` selects, and advances time by up to six seconds.
pub(crate) fn apply_event(
    fleet: &mut Fleet,
    input: &mut Unstructured<'_>,
) -> arbitrary::Result<()> {
    let size = fleet.nodes.len();
    let index = input.int_in_range(0..=size - 1)?;
    match input.int_in_range(0..=11)? {
        0..=2 => change_configuration(fleet, input)?,
        3 => pause(fleet, index, input.int_in_range(1..=30)?),
        4 => fleet.restart(index),
        5 => cut_halves(fleet, input.arbitrary()?),
        6 => fleet.cut_links.clear(),
        7 => fleet.store.is_down = !fleet.store.is_down,
        8 => {
            fleet.loss_percent = input.int_in_range(0..=40)?;
            fleet.duplicate_percent = input.int_in_range(0..=30)?;
        },
        9 => fleet.max_delay_ms = input.int_in_range(1..=3_000)?,
        10 => fleet.lost_answer_percent = input.int_in_range(0..=60)?,
        _ => drain(fleet, index, input)?,
    }
    fleet.advance_secs(input.int_in_range(0..=6)?);
    Ok(())
}

fn change_configuration(fleet: &mut Fleet, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    if fleet.store.is_down {
        return Ok(());
    }
    let key = format!("account/{}", input.int_in_range(0..=5)?);
    let is_deleted = input.ratio(1, 4)?;
    let body = if is_deleted { String::new() } else { format!("{{{}}}", fleet.store.revision) };
    fleet.store.write(&key, &body);
    Ok(())
}

fn pause(fleet: &mut Fleet, index: usize, seconds: u64) {
    fleet.nodes[index].paused_at = fleet.now;
    fleet.nodes[index].paused_until = fleet.now + Duration::from_secs(seconds);
}

/// Cuts the links between two halves of the fleet, in both directions or in one.
fn cut_halves(fleet: &mut Fleet, mask: u16) {
    let size = fleet.nodes.len();
    let is_both = mask & 0x8000 == 0;
    for from in 0..size {
        for to in 0..size {
            let crosses = (mask >> from) & 1 == 1 && (mask >> to) & 1 == 0;
            if crosses {
                fleet.cut_links.insert((from, to));
                if is_both {
                    fleet.cut_links.insert((to, from));
                }
            }
        }
    }
}

fn drain(fleet: &mut Fleet, index: usize, input: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    if fleet.nodes[index].paused_until > fleet.now {
        return Ok(());
    }
    let name = format!("dc-{}", input.int_in_range(0..=2)?);
    let is_out = input.arbitrary()?;
    let actions = fleet.nodes[index].state.drain(DrainSubject::DataCentre, name, is_out);
    fleet.perform(index, actions);
    Ok(())
}
