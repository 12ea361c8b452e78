//! Conversion of replies to requests for grants.

use std::time::Duration;

use apricotknot_core::admission::ChargePart;
use apricotknot_core::admission::GrantTicket;
use apricotknot_core::admission::PlacementReason;
use apricotknot_core::admission::RefusalNotice;
use apricotknot_core::admission::RefusalReason;
use apricotknot_core::types::MonotonicTime;
use capnp::struct_list;

use super::ConvertError;
use super::limits::MAX_CHARGES;
use super::scalar::check_length;
use super::scalar::read_name;
use super::scalar::saturating_millis;
use super::share::read_amount;
use super::share::read_source;
use super::share::write_amount;
use super::share::write_source;
use crate::generated::peer_capnp;
use crate::generated::peer_capnp::charge_part;
use crate::generated::peer_capnp::grant_refusal;
use crate::generated::peer_capnp::grant_reply;
use crate::generated::peer_capnp::grant_ticket;
use crate::message::GrantReply;
use crate::message::GrantRequest;
use crate::message::OwnerHint;

/// Reads the reply to `request`, which was sent at `requested_at`.
///
/// The times of the grant are computed on this node's clock from `requested_at` and the time in the
/// owner's queue. The owner received the request no earlier than `requested_at`, so the computed
/// times are never later than the times that the owner assigned.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or name is longer than
/// its limit.
pub fn read_grant_reply(
    reader: grant_reply::Reader<'_>,
    request: &GrantRequest,
    requested_at: MonotonicTime,
) -> Result<GrantReply, ConvertError> {
    match reader.which()? {
        grant_reply::Which::Ticket(ticket) => {
            let ticket = ticket?;
            Ok(GrantReply::Granted {
                ticket: Box::new(read_ticket(ticket, request, requested_at)?),
                charges: read_charges(ticket.get_charges()?)?,
            })
        },
        grant_reply::Which::Refusal(refusal) => {
            Ok(GrantReply::Refused(Box::new(read_refusal(refusal?, request)?)))
        },
        grant_reply::Which::NotOwner(hint) => {
            let hint = hint?;
            let owner = read_name("owner", hint.get_owner()?)?;
            Ok(GrantReply::NotOwner(OwnerHint { owner, epoch: hint.get_epoch() }))
        },
    }
}

/// Writes the reply to a request for a grant.
pub fn write_grant_reply(reply: &GrantReply, builder: grant_reply::Builder<'_>) {
    match reply {
        GrantReply::Granted { ticket, charges } => {
            let mut builder = builder.init_ticket();
            write_ticket(ticket, builder.reborrow());
            write_charges(charges, builder.init_charges(charges.len() as u32));
        },
        GrantReply::Refused(refusal) => write_refusal(refusal, builder.init_refusal()),
        GrantReply::NotOwner(hint) => {
            let mut builder = builder.init_not_owner();
            builder.set_owner(&*hint.owner);
            builder.set_epoch(hint.epoch);
        },
    }
}

fn read_ticket(
    reader: grant_ticket::Reader<'_>,
    request: &GrantRequest,
    requested_at: MonotonicTime,
) -> Result<GrantTicket, ConvertError> {
    let submission = &request.submission;
    let start_within = Duration::from_millis(reader.get_start_within_ms());
    let queued_for = Duration::from_millis(reader.get_queued_ms());
    let granted_at = requested_at.saturating_add(queued_for);
    Ok(GrantTicket {
        request: submission.profile.id,
        attempt: submission.attempt,
        account: submission.profile.account.clone(),
        node: submission.node.clone(),
        endpoint: read_name("endpoint", reader.get_endpoint()?)?,
        pool: request.pool.clone(),
        epoch: reader.get_epoch(),
        fencing: reader.get_fencing(),
        memory_tokens: reader.get_memory_tokens(),
        granted_at,
        expires_at: granted_at.saturating_add(start_within),
        start_within,
        priority: reader.get_priority(),
        reason: match reader.get_reason()? {
            peer_capnp::PlacementReason::LeastWork => PlacementReason::LeastWork,
            peer_capnp::PlacementReason::OnlyFit => PlacementReason::OnlyFit,
            peer_capnp::PlacementReason::PrefixCached => PlacementReason::PrefixCached,
        },
        queued_for,
    })
}

fn write_ticket(ticket: &GrantTicket, mut builder: grant_ticket::Builder<'_>) {
    builder.set_endpoint(&*ticket.endpoint);
    builder.set_epoch(ticket.epoch);
    builder.set_fencing(ticket.fencing);
    builder.set_memory_tokens(ticket.memory_tokens);
    builder.set_start_within_ms(saturating_millis(ticket.start_within));
    builder.set_queued_ms(saturating_millis(ticket.queued_for));
    builder.set_priority(ticket.priority);
    builder.set_reason(match ticket.reason {
        PlacementReason::LeastWork => peer_capnp::PlacementReason::LeastWork,
        PlacementReason::OnlyFit => peer_capnp::PlacementReason::OnlyFit,
        PlacementReason::PrefixCached => peer_capnp::PlacementReason::PrefixCached,
    });
}

fn read_charges(
    reader: struct_list::Reader<'_, charge_part::Owned>,
) -> Result<Vec<ChargePart>, ConvertError> {
    check_length("charges", reader.len() as usize, MAX_CHARGES)?;
    let read_part = |part: charge_part::Reader<'_>| {
        Ok(ChargePart {
            source: read_source(part.get_source()?)?,
            amount: read_amount(part.get_amount()?),
        })
    };
    reader.iter().map(read_part).collect()
}

fn write_charges(
    charges: &[ChargePart],
    mut builder: struct_list::Builder<'_, charge_part::Owned>,
) {
    for (index, part) in (0u32..).zip(charges) {
        let mut item = builder.reborrow().get(index);
        write_source(&part.source, item.reborrow().init_source());
        write_amount(part.amount, item.init_amount());
    }
}

fn read_refusal(
    reader: grant_refusal::Reader<'_>,
    request: &GrantRequest,
) -> Result<RefusalNotice, ConvertError> {
    let (given, limit) = (reader.get_given(), reader.get_limit());
    let saturate_u32 = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    let reason = match reader.get_reason()? {
        peer_capnp::RefusalReason::AccountConcurrency => RefusalReason::AccountConcurrency {
            active: saturate_u32(given),
            limit: saturate_u32(limit),
        },
        peer_capnp::RefusalReason::AccountRate => {
            RefusalReason::AccountRate { tokens_per_second: limit }
        },
        peer_capnp::RefusalReason::DeadlineUnreachable => RefusalReason::DeadlineUnreachable,
        peer_capnp::RefusalReason::NoEndpoint => RefusalReason::NoEndpoint,
        peer_capnp::RefusalReason::Quarantined => RefusalReason::Quarantined,
        peer_capnp::RefusalReason::QueueFull => {
            RefusalReason::QueueFull { queued: saturate_u32(given), limit: saturate_u32(limit) }
        },
        peer_capnp::RefusalReason::TooLarge => {
            RefusalReason::TooLarge { needed: given, largest: limit }
        },
    };
    Ok(RefusalNotice {
        request: request.submission.profile.id,
        attempt: request.submission.attempt,
        node: request.submission.node.clone(),
        reason,
        retry_after: Duration::from_millis(reader.get_retry_after_ms()),
        shortage: None,
    })
}

fn write_refusal(notice: &RefusalNotice, mut builder: grant_refusal::Builder<'_>) {
    let (reason, given, limit) = match &notice.reason {
        RefusalReason::AccountConcurrency { active, limit } => {
            (peer_capnp::RefusalReason::AccountConcurrency, (*active).into(), (*limit).into())
        },
        RefusalReason::AccountRate { tokens_per_second } => {
            (peer_capnp::RefusalReason::AccountRate, 0, *tokens_per_second)
        },
        RefusalReason::DeadlineUnreachable => {
            (peer_capnp::RefusalReason::DeadlineUnreachable, 0, 0)
        },
        RefusalReason::NoEndpoint => (peer_capnp::RefusalReason::NoEndpoint, 0, 0),
        RefusalReason::Quarantined => (peer_capnp::RefusalReason::Quarantined, 0, 0),
        RefusalReason::QueueFull { queued, limit } => {
            (peer_capnp::RefusalReason::QueueFull, (*queued).into(), (*limit).into())
        },
        RefusalReason::TooLarge { needed, largest } => {
            (peer_capnp::RefusalReason::TooLarge, *needed, *largest)
        },
    };
    builder.set_reason(reason);
    builder.set_given(given);
    builder.set_limit(limit);
    builder.set_retry_after_ms(saturating_millis(notice.retry_after));
}
