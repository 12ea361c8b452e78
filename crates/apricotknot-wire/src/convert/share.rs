//! Conversion of messages about budget shares.

use std::time::Duration;

use apricotknot_core::admission::BudgetAmount;
use apricotknot_core::admission::ChargeSource;
use apricotknot_core::admission::ReconcileScope;
use apricotknot_core::admission::ShareMessage;
use capnp::struct_list;

use super::ConvertError;
use super::limits::MAX_SHARE_MESSAGES;
use super::scalar::check_length;
use super::scalar::read_name;
use super::scalar::saturating_millis;
use super::scalar::saturating_nanos;
use crate::generated::peer_capnp::budget_amount;
use crate::generated::peer_capnp::charge_source;
use crate::generated::peer_capnp::reconcile_scope;
use crate::generated::peer_capnp::share_message;

/// Reads a list of messages about budget shares.
///
/// # Errors
///
/// Returns an error if the message does not follow the schema, or if a list or name is longer than
/// its limit.
pub fn read_share_messages(
    reader: struct_list::Reader<'_, share_message::Owned>,
) -> Result<Vec<ShareMessage>, ConvertError> {
    check_length("messages", reader.len() as usize, MAX_SHARE_MESSAGES)?;
    reader.iter().map(read_share_message).collect()
}

/// Writes a list of messages about budget shares; `builder` must have the length of `messages`.
pub fn write_share_messages(
    messages: &[ShareMessage],
    mut builder: struct_list::Builder<'_, share_message::Owned>,
) {
    for (index, message) in (0u32..).zip(messages) {
        write_share_message(message, builder.reborrow().get(index));
    }
}

fn read_share_message(reader: share_message::Reader<'_>) -> Result<ShareMessage, ConvertError> {
    let endpoint = read_name("endpoint", reader.get_endpoint()?)?;
    Ok(match reader.which()? {
        share_message::Which::Borrow(group) => ShareMessage::Borrow {
            endpoint,
            epoch: group.get_epoch(),
            requested_at: Duration::from_nanos(group.get_asked_at_ns()),
            incarnation: group.get_incarnation(),
        },
        share_message::Which::Lend(group) => ShareMessage::Lend {
            endpoint,
            epoch: group.get_epoch(),
            loan: read_source(group.get_loan()?)?,
            amount: read_amount(group.get_amount()?),
            term: Duration::from_millis(group.get_term_ms()),
            requested_at: Duration::from_nanos(group.get_asked_at_ns()),
            incarnation: group.get_incarnation(),
        },
        share_message::Which::Recall(loan) => {
            ShareMessage::Recall { endpoint, loan: read_source(loan?)? }
        },
        share_message::Which::Return(group) => ShareMessage::Return {
            endpoint,
            loan: read_source(group.get_loan()?)?,
            kept: read_amount(group.get_kept()?),
        },
        share_message::Which::Returned(loan) => {
            ShareMessage::Returned { endpoint, loan: read_source(loan?)? }
        },
        share_message::Which::Reconcile(scope) => {
            ShareMessage::Reconcile { endpoint, scope: read_scope(scope?)? }
        },
        share_message::Which::Holdings(group) => ShareMessage::Holdings {
            endpoint,
            scope: read_scope(group.get_scope()?)?,
            held: read_amount(group.get_held()?),
        },
        share_message::Which::Retire(epoch) => ShareMessage::Retire { endpoint, epoch },
        share_message::Which::Retired(group) => ShareMessage::Retired {
            endpoint,
            epoch: group.get_epoch(),
            kept: read_amount(group.get_kept()?),
        },
    })
}

fn write_share_message(message: &ShareMessage, mut builder: share_message::Builder<'_>) {
    match message {
        ShareMessage::Borrow { endpoint, epoch, requested_at, incarnation } => {
            builder.set_endpoint(&**endpoint);
            let mut group = builder.init_borrow();
            group.set_epoch(*epoch);
            group.set_asked_at_ns(saturating_nanos(*requested_at));
            group.set_incarnation(*incarnation);
        },
        ShareMessage::Lend { endpoint, epoch, loan, amount, term, requested_at, incarnation } => {
            builder.set_endpoint(&**endpoint);
            let mut group = builder.init_lend();
            group.set_epoch(*epoch);
            group.set_term_ms(saturating_millis(*term));
            group.set_asked_at_ns(saturating_nanos(*requested_at));
            group.set_incarnation(*incarnation);
            write_source(loan, group.reborrow().init_loan());
            write_amount(*amount, group.init_amount());
        },
        ShareMessage::Recall { endpoint, loan } => {
            builder.set_endpoint(&**endpoint);
            write_source(loan, builder.init_recall());
        },
        ShareMessage::Return { endpoint, loan, kept } => {
            builder.set_endpoint(&**endpoint);
            let mut group = builder.init_return();
            write_source(loan, group.reborrow().init_loan());
            write_amount(*kept, group.init_kept());
        },
        ShareMessage::Returned { endpoint, loan } => {
            builder.set_endpoint(&**endpoint);
            write_source(loan, builder.init_returned());
        },
        ShareMessage::Reconcile { endpoint, scope } => {
            builder.set_endpoint(&**endpoint);
            write_scope(scope, builder.init_reconcile());
        },
        ShareMessage::Holdings { endpoint, scope, held } => {
            builder.set_endpoint(&**endpoint);
            let mut group = builder.init_holdings();
            write_scope(scope, group.reborrow().init_scope());
            write_amount(*held, group.init_held());
        },
        ShareMessage::Retire { endpoint, epoch } => {
            builder.set_endpoint(&**endpoint);
            builder.set_retire(*epoch);
        },
        ShareMessage::Retired { endpoint, epoch, kept } => {
            builder.set_endpoint(&**endpoint);
            let mut group = builder.init_retired();
            group.set_epoch(*epoch);
            write_amount(*kept, group.init_kept());
        },
    }
}

/// Reads an amount of memory tokens and concurrent attempts.
pub(super) fn read_amount(reader: budget_amount::Reader<'_>) -> BudgetAmount {
    BudgetAmount::new(reader.get_memory_tokens(), reader.get_concurrent())
}

/// Writes an amount of memory tokens and concurrent attempts.
pub(super) fn write_amount(amount: BudgetAmount, mut builder: budget_amount::Builder<'_>) {
    builder.set_memory_tokens(amount.memory_tokens);
    builder.set_concurrent(amount.concurrent);
}

/// Reads the identification of a loan.
pub(super) fn read_source(reader: charge_source::Reader<'_>) -> Result<ChargeSource, ConvertError> {
    Ok(ChargeSource {
        lender: read_name("lender", reader.get_lender()?)?,
        incarnation: reader.get_incarnation(),
        number: reader.get_number(),
    })
}

/// Writes the identification of a loan.
pub(super) fn write_source(source: &ChargeSource, mut builder: charge_source::Builder<'_>) {
    builder.set_lender(&*source.lender);
    builder.set_incarnation(source.incarnation);
    builder.set_number(source.number);
}

fn read_scope(reader: reconcile_scope::Reader<'_>) -> Result<ReconcileScope, ConvertError> {
    let source = read_source(reader.get_source()?)?;
    Ok(match reader.get_is_earlier() {
        true => ReconcileScope::Earlier { lender: source.lender, incarnation: source.incarnation },
        false => ReconcileScope::Loan(source),
    })
}

fn write_scope(scope: &ReconcileScope, mut builder: reconcile_scope::Builder<'_>) {
    match scope {
        ReconcileScope::Loan(source) => write_source(source, builder.init_source()),
        ReconcileScope::Earlier { lender, incarnation } => {
            builder.set_is_earlier(true);
            let source =
                ChargeSource { lender: lender.clone(), incarnation: *incarnation, number: 0 };
            write_source(&source, builder.init_source());
        },
    }
}
