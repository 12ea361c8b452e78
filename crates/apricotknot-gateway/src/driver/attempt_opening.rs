//! Opening of an attempt: memory at the helpers, the connection, and the request's head.

use std::sync::Arc;
use std::time::Duration;

use actix_http::RequestHead;
use apricotknot_core::fleet::AttemptEnd;
use apricotknot_core::fleet::BackoffStatement;
use apricotknot_core::types::EndpointId;
use apricotknot_core::types::MonotonicTime;

use super::attempt::AttemptFault;
use super::attempt::CallInterrupt;
use super::attempt::OpenAttempt;
use super::attempt::WaitInterrupt;
use super::call_driver::CallDriver;
use super::endpoint_access::connect_to;
use super::endpoint_access::probe;
use super::reservation::ReservationGuard;
use super::reservation::reserve;
use crate::control::AttemptGuard;
use crate::control::ControlCommand;
use crate::control::EndpointGrant;
use crate::endpoint::CONNECT_TIMEOUT;
use crate::endpoint::EndpointConnection;
use crate::endpoint::EndpointExchange;
use crate::endpoint::ExchangeError;
use crate::protocol::AttemptMetadata;
use crate::protocol::CallProtocol;
use crate::protocol::HelperAddress;
use crate::relay::RelayRefusal;

/// Time after a grant from which it is confirmed before the request is sent.
const CONFIRM_AFTER: Duration = Duration::from_millis(20);

/// Time after which a grant that was not used has expired, by a clock that counts suspension.
///
/// It covers reservations and the connection. A process that was paused for longer asks for another
/// grant, which is made from what it has learned since.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Fraction of the time for which memory may stay unused that is left to release it.
const IDLE_RESERVE_FRACTION: f64 = 0.1;

/// Longest prompt, in tokens, that endpoints prefill before longer ones.
const MAX_SHORT_PROMPT_TOKENS: u64 = 24_000;

/// Longest prompt, in tokens, that endpoints prefill before archives.
const MAX_MEDIUM_PROMPT_TOKENS: u64 = 110_000;

impl<P: CallProtocol> CallDriver<'_, P> {
    /// Reserves memory at the helpers and connects to the endpoint.
    pub(super) async fn open_attempt(
        &mut self,
        mut grant: EndpointGrant,
    ) -> Result<OpenAttempt, CallInterrupt> {
        let granted_at = self.now();
        let (helpers, reservations) = self.reserve_memory(&mut grant).await?;
        let connection = self.connect(&mut grant).await?;
        if let Some(peer) = connection.relayed_by() {
            self.log_relayed(&grant.endpoint, peer);
        }
        if !self.is_still_permitted(&grant.guard, granted_at).await {
            let cause = "the grant is no longer valid";
            self.record_failed_attempt(&grant.endpoint, AttemptEnd::Abandoned, cause);
            return Err(CallInterrupt::Attempt(AttemptFault::NotRun));
        }
        let head = self.attempt_head(&grant.endpoint, helpers);
        let started =
            EndpointExchange::start(&self.context.http, connection, head, &self.call.body);
        let exchange = match started {
            Ok(exchange) => exchange,
            Err(error) => return Err(self.end_unconnected(&mut grant, &error)),
        };
        self.sends += 1;
        self.endpoint = Some(Arc::clone(&grant.endpoint));
        Ok(OpenAttempt {
            guard: grant.guard,
            endpoint: grant.endpoint,
            exchange,
            early_head: None,
            silence_limit: self.silence_limit(grant.expected_start),
            helpers: grant.helpers,
            unused_until: reservations.is_holding().then(|| granted_at + self.unused_limit()),
            _reservations: reservations,
            is_rate_limited: grant.is_rate_limited,
            backoff: BackoffStatement::None,
            expected_start: grant.expected_start,
            has_begun: false,
            sent_at: self.now(),
            progress_at: self.now(),
        })
    }

    /// Reserves memory at the helpers of a grant.
    async fn reserve_memory(
        &mut self,
        grant: &mut EndpointGrant,
    ) -> Result<(Vec<HelperAddress>, ReservationGuard), CallInterrupt> {
        let reserving = reserve(self.context, grant.guard.attempt(), &grant.helpers);
        match self.unless_interrupted(reserving, None).await {
            Err(WaitInterrupt::CallerDisconnected) => Err(CallInterrupt::CallerDisconnected),
            Err(WaitInterrupt::StandbyGoesOn) => Err(CallInterrupt::StandbyGoesOn),
            Err(WaitInterrupt::Deadline | WaitInterrupt::Silence) => Err(CallInterrupt::Deadline),
            Ok(Ok(reserved)) => Ok(reserved),
            Ok(Err(refused)) => {
                for endpoint in refused {
                    self.context.control.send(ControlCommand::MemoryRefused { endpoint });
                }
                // The endpoint itself was not asked.
                grant.guard.set_end(AttemptEnd::Abandoned);
                let cause = "no memory at a helper";
                self.record_failed_attempt(&grant.endpoint, AttemptEnd::Abandoned, cause);
                Err(CallInterrupt::Attempt(AttemptFault::NotRun))
            },
        }
    }

    /// Connects to the endpoint of a grant, by the way that the grant names.
    async fn connect(
        &mut self,
        grant: &mut EndpointGrant,
    ) -> Result<EndpointConnection, CallInterrupt> {
        if grant.probes {
            probe(self.context, &grant.endpoint, grant.address);
        }
        let connecting =
            connect_to(self.context, &grant.endpoint, grant.address, &grant.path, CONNECT_TIMEOUT);
        match self.unless_interrupted(connecting, None).await {
            Err(WaitInterrupt::CallerDisconnected) => Err(CallInterrupt::CallerDisconnected),
            Err(WaitInterrupt::StandbyGoesOn) => Err(CallInterrupt::StandbyGoesOn),
            Err(WaitInterrupt::Deadline | WaitInterrupt::Silence) => Err(CallInterrupt::Deadline),
            Ok(Err(error)) => Err(self.end_unconnected(grant, &error)),
            Ok(Ok(connection)) => Ok(connection),
        }
    }

    /// Returns the time from a grant until an endpoint has to begin to use reserved memory.
    fn unused_limit(&self) -> Duration {
        self.context.reserved_idle_time.mul_f64(1.0 - IDLE_RESERVE_FRACTION)
    }

    /// Returns the head of the request as the endpoint of an attempt receives it.
    fn attempt_head(&self, endpoint: &EndpointId, helpers: Vec<HelperAddress>) -> RequestHead {
        let mut head = self.call.head.clone();
        let metadata = AttemptMetadata {
            endpoint: Arc::clone(endpoint),
            account: self.call.account.as_deref().cloned(),
            time_left: self.call.deadline.saturating_sub(self.now()),
            last_event_id: self.event_order.last_id(),
            urgency: urgency_of(self.call.metadata.size.prompt),
            helpers,
        };
        self.context.protocol.write_attempt(&mut head, &metadata);
        head
    }

    /// Ends an attempt for which there is no connection to the endpoint; nothing was sent.
    ///
    /// A connection of this node that fails says nothing certain of the endpoint, as the node may be
    /// cut off. A peer's refusal is about the endpoint or about the peer.
    fn end_unconnected(
        &mut self,
        grant: &mut EndpointGrant,
        error: &ExchangeError,
    ) -> CallInterrupt {
        let endpoint = Arc::clone(&grant.endpoint);
        let refusal = match error {
            ExchangeError::Relay(error) => error.refusal(),
            _ => None,
        };
        let end = match (error, refusal) {
            (ExchangeError::Unreachable(_) | ExchangeError::ConnectTimeout(_), _) => {
                AttemptEnd::Unreachable
            },
            (_, Some(RelayRefusal::Unreached)) => AttemptEnd::Gone,
            _ => AttemptEnd::Abandoned,
        };
        grant.guard.set_end(end);
        self.record_failed_attempt(&endpoint, end, &error.to_string());
        let is_about_endpoint = refusal.is_some_and(RelayRefusal::is_about_endpoint);
        match error {
            ExchangeError::Unreachable(_) | ExchangeError::ConnectTimeout(_) => {
                self.unreached.push(endpoint);
            },
            ExchangeError::Relay(_) if !is_about_endpoint => self.relay_failures += 1,
            _ => self.excluded.push(endpoint),
        }
        CallInterrupt::Attempt(AttemptFault::NotRun)
    }

    /// Returns whether an attempt that is about to be sent may still be.
    ///
    /// It may not if the grant is too old, or if its endpoint has left or begun to limit its request
    /// rate since.
    async fn is_still_permitted(&self, guard: &AttemptGuard, granted_at: MonotonicTime) -> bool {
        let age = self.now().saturating_sub(granted_at);
        if age > GRANT_LIFETIME {
            return false;
        }
        age <= CONFIRM_AFTER || self.context.control.confirm(guard.attempt()).await
    }
}

/// Returns the rank of a request among those of an endpoint; shorter prompts come first.
fn urgency_of(prompt: u64) -> u8 {
    match prompt {
        ..=MAX_SHORT_PROMPT_TOKENS => 2,
        prompt if prompt <= MAX_MEDIUM_PROMPT_TOKENS => 4,
        _ => 6,
    }
}
