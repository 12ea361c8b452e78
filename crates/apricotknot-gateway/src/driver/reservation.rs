//! Memory that helpers reserve for one attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use apricotknot_core::types::AttemptId;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::TokenCount;
use futures::future::join_all;
use slog::warn;
use tokio::sync::oneshot;

use super::TrafficContext;
use super::endpoint_access::connect_to;
use super::endpoint_access::report_notices;
use crate::control::EndpointPath;
use crate::control::HelperGrant;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::protocol::CallProtocol;
use crate::protocol::HelperAddress;
use crate::protocol::ReservationId;
use crate::protocol::ReservationRequest;

/// Time after which a reservation expires unless it is renewed.
///
/// It frees the memory that a crashed node had reserved, or that was reserved after the timeout.
const RESERVATION_TTL: Duration = Duration::from_millis(3_000);

/// Interval between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest time of a request about a reservation, from connecting to the head of the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Most attempts to release a reservation.
const RELEASE_ATTEMPTS: u32 = 3;

/// Describes the memory that one endpoint reserves.
#[derive(Clone, Debug)]
struct MemoryReservation {
    endpoint: EndpointId,
    address: SocketAddr,
    path: EndpointPath,
    id: ReservationId,
    tokens: TokenCount,
}

/// Keeps the memory of all helpers reserved; it is released when the guard is dropped.
#[derive(Debug)]
pub(super) struct ReservationGuard {
    stop_signal: Option<oneshot::Sender<()>>,
}

impl ReservationGuard {
    /// Returns whether any memory is reserved.
    pub(super) fn is_holding(&self) -> bool {
        self.stop_signal.is_some()
    }
}

/// Sends requests about reservations to endpoints.
struct ReservationClient<P> {
    context: TrafficContext<P>,
}

/// Reserves memory at each helper that has to hold a part of the prompt.
///
/// # Errors
///
/// Returns the helpers that have no room or do not answer; the reservations at the others are
/// released.
pub(super) async fn reserve<P: CallProtocol>(
    context: &TrafficContext<P>,
    attempt: AttemptId,
    helpers: &[HelperGrant],
) -> Result<(Vec<HelperAddress>, ReservationGuard), Vec<EndpointId>> {
    let addresses = helpers.iter().enumerate().map(|(index, helper)| HelperAddress {
        address: helper.address,
        reservation: (helper.memory > 0).then(|| format!("{attempt:032x}-{index}").into()),
    });
    let addresses: Vec<HelperAddress> = addresses.collect();
    let reservations: Vec<MemoryReservation> = addresses
        .iter()
        .zip(helpers)
        .filter_map(|(address, helper)| {
            let id = address.reservation.clone()?;
            Some(MemoryReservation {
                endpoint: Arc::clone(&helper.endpoint),
                address: helper.address,
                path: helper.path.clone(),
                id,
                tokens: helper.memory,
            })
        })
        .collect();
    if reservations.is_empty() {
        return Ok((addresses, ReservationGuard { stop_signal: None }));
    }
    let client = ReservationClient { context: context.clone() };
    // The guard releases the memory even if this future is dropped before its end.
    let (stop, stopped) = oneshot::channel();
    let guard = ReservationGuard { stop_signal: Some(stop) };
    let (answer, answered) = oneshot::channel();
    actix_rt::spawn(client.maintain(reservations, answer, stopped));
    // The task answers before it ends.
    let refused = answered.await.unwrap_or_default();
    if refused.is_empty() { Ok((addresses, guard)) } else { Err(refused) }
}

impl<P: CallProtocol> ReservationClient<P> {
    /// Reserves the memory, renews the reservations until `stopped`, and releases them.
    ///
    /// Sends to `answer` the endpoints that reserved none.
    async fn maintain(
        self,
        reservations: Vec<MemoryReservation>,
        answer: oneshot::Sender<Vec<EndpointId>>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        let refused = self.reserve_all(&reservations).await;
        let is_reserved = refused.is_empty();
        if answer.send(refused).is_ok() && is_reserved {
            loop {
                tokio::select! {
                    _ = &mut stopped => break,
                    () = tokio::time::sleep(RENEW_INTERVAL) => {
                        // A failed renewal is logged; the next one tries again.
                        let _ = self.reserve_all(&reservations).await;
                    },
                }
            }
        }
        join_all(reservations.iter().map(|reservation| self.release(reservation))).await;
    }

    /// Reserves or renews all of the memory; returns the endpoints that did not.
    async fn reserve_all(&self, reservations: &[MemoryReservation]) -> Vec<EndpointId> {
        let requests = reservations.iter().map(|reservation| {
            let id = reservation.id.clone();
            let request = ReservationRequest::Reserve {
                id,
                tokens: reservation.tokens,
                ttl: RESERVATION_TTL,
            };
            self.send(reservation, request)
        });
        let answers = join_all(requests).await;
        let refused = answers.into_iter().zip(reservations).filter_map(|(answer, reservation)| {
            let cause = match answer {
                Ok(StatusCode::OK) => return None,
                Ok(status) => status.as_str().to_owned(),
                Err(error) => error.to_string(),
            };
            self.log_failure(reservation, "cannot reserve memory", &cause);
            Some(Arc::clone(&reservation.endpoint))
        });
        refused.collect()
    }

    /// Releases a reservation; after several failures it is left to expire.
    async fn release(&self, reservation: &MemoryReservation) {
        for _ in 0..RELEASE_ATTEMPTS {
            let request = ReservationRequest::Release { id: reservation.id.clone() };
            match self.send(reservation, request).await {
                Ok(_) => return,
                Err(error) => {
                    self.log_failure(reservation, "cannot release memory", &error.to_string());
                },
            }
        }
    }

    async fn send(
        &self,
        reservation: &MemoryReservation,
        request: ReservationRequest,
    ) -> Result<StatusCode, ExchangeError> {
        let (head, body) = self.context.protocol.write_reservation(&request);
        let MemoryReservation { endpoint, address, path, .. } = reservation;
        let exchange = async {
            let connecting = connect_to(&self.context, endpoint, *address, path, REQUEST_TIMEOUT);
            let connection = connecting.await?;
            let mut exchange =
                EndpointExchange::start(&self.context.http, connection, head, &body)?;
            let head = exchange.read_head().await?;
            let metadata = self.context.protocol.read_answer(&head);
            if !metadata.is_misdirected {
                report_notices(&self.context, endpoint, exchange.relayed_by(), &metadata);
            }
            Ok(head.status)
        };
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        answer.unwrap_or(Err(ExchangeError::Truncated))
    }

    fn log_failure(&self, reservation: &MemoryReservation, event: &'static str, cause: &str) {
        warn!(
            self.context.logger, "reservation: {}", event;
            "reservation" => %reservation.id, "address" => %reservation.address,
            "tokens" => reservation.tokens, "cause" => cause
        );
    }
}
