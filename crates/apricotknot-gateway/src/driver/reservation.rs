//! Memory that helpers set aside for one attempt.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::ServiceConfig;
use actix_http::StatusCode;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::TokenCount;
use futures::future::join_all;
use slog::Logger;
use slog::warn;
use tokio::sync::oneshot;

use super::TrafficContext;
use crate::control::HelperGrant;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::endpoint::ExchangeOrder;
use crate::protocol::CallProtocol;
use crate::protocol::HelperAddress;
use crate::protocol::ReservationId;
use crate::protocol::ReservationOrder;

/// Time for which memory stays set aside if it is not renewed.
///
/// Memory that a node left behind at its end, or that was set aside late, is free again after it.
const HOLD_TIME: Duration = Duration::from_millis(3_000);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest time of one order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Times that a release is tried.
const RELEASE_TRIES: u32 = 3;

/// Memory that one endpoint has set aside.
#[derive(Clone, Debug)]
struct HeldMemory {
    address: SocketAddr,
    id: ReservationId,
    tokens: TokenCount,
}

/// Keeps memory set aside until it is dropped, then frees it.
#[derive(Debug)]
pub(super) struct ReservationSet {
    _stop: Option<oneshot::Sender<()>>,
}

/// Sends orders about memory.
struct ReservationDesk<P> {
    protocol: P,
    http: ServiceConfig,
    logger: Logger,
}

/// Sets memory aside at each helper that has to hold a part of the prompt.
///
/// Returns `None` where any of them has no room; what others set aside is freed again.
pub(super) async fn reserve<P: CallProtocol>(
    context: &TrafficContext<P>,
    attempt: AttemptId,
    helpers: &[HelperGrant],
) -> Option<(Vec<HelperAddress>, ReservationSet)> {
    let addresses = helpers.iter().enumerate().map(|(index, helper)| HelperAddress {
        address: helper.address,
        reservation: (helper.memory > 0).then(|| format!("{attempt:032x}-{index}").into()),
    });
    let addresses: Vec<HelperAddress> = addresses.collect();
    let held: Vec<HeldMemory> = addresses
        .iter()
        .zip(helpers)
        .filter_map(|(address, helper)| {
            let id = address.reservation.clone()?;
            Some(HeldMemory { address: helper.address, id, tokens: helper.memory })
        })
        .collect();
    if held.is_empty() {
        return Some((addresses, ReservationSet { _stop: None }));
    }
    let desk = ReservationDesk {
        protocol: context.protocol.clone(),
        http: context.http.clone(),
        logger: context.logger.clone(),
    };
    // The set frees the memory also where this future is dropped halfway.
    let (stop, stopped) = oneshot::channel();
    let set = ReservationSet { _stop: Some(stop) };
    let (answer, answered) = oneshot::channel();
    actix_rt::spawn(desk.keep(held, answer, stopped));
    answered.await.unwrap_or(false).then_some((addresses, set))
}

impl<P: CallProtocol> ReservationDesk<P> {
    /// Sets memory aside, renews it until it is no longer needed, and frees it.
    async fn keep(
        self,
        held: Vec<HeldMemory>,
        answer: oneshot::Sender<bool>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let is_held = self.hold_all(&held).await;
        if answer.send(is_held).is_ok() && is_held {
            loop {
                tokio::select! {
                    _ = &mut stopped => break,
                    () = tokio::time::sleep(RENEW_INTERVAL) => {
                        // A renewal that failed is logged, and tried again at the next one.
                        let _ = self.hold_all(&held).await;
                    },
                }
            }
        }
        join_all(held.iter().map(|memory| self.release(memory))).await;
    }

    async fn hold_all(&self, held: &[HeldMemory]) -> bool {
        let orders = held.iter().map(|memory| {
            let id = memory.id.clone();
            let order = ReservationOrder::Hold { id, tokens: memory.tokens, time: HOLD_TIME };
            self.send(memory.address, order)
        });
        let answers = join_all(orders).await;
        answers.into_iter().zip(held).all(|(answer, memory)| match answer {
            Ok(StatusCode::OK) => true,
            Ok(status) => self.note(memory, "memory not set aside", status.as_str()),
            Err(error) => self.note(memory, "memory not set aside", &error.to_string()),
        })
    }

    async fn release(&self, memory: &HeldMemory) {
        for _ in 0..RELEASE_TRIES {
            let order = ReservationOrder::Release { id: memory.id.clone() };
            match self.send(memory.address, order).await {
                Ok(_) => return,
                Err(error) => _ = self.note(memory, "memory not freed", &error.to_string()),
            }
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        order: ReservationOrder,
    ) -> Result<StatusCode, ExchangeError> {
        let (head, body) = self.protocol.write_reservation(&order);
        let order = ExchangeOrder { address, head, body, connect_timeout: ORDER_TIMEOUT };
        let exchange = async {
            let mut exchange = EndpointExchange::open(&self.http, order).await?;
            Ok(exchange.read_head().await?.status)
        };
        let answer = tokio::time::timeout(ORDER_TIMEOUT, exchange).await;
        answer.unwrap_or(Err(ExchangeError::Truncated))
    }

    fn note(&self, memory: &HeldMemory, event: &'static str, cause: &str) -> bool {
        warn!(
            self.logger, "reservation: {}", event;
            "reservation" => %memory.id, "address" => %memory.address,
            "tokens" => memory.tokens, "cause" => cause
        );
        false
    }
}
