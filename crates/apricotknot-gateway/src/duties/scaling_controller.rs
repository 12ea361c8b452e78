//! Task that orders endpoints while this node holds the duty.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::scaling::ScalingStatus;
use apricotknot_core::scaling::ServiceSample;
use apricotknot_core::scaling::ServiceScaler;
use apricotknot_core::types::FencingNumber;
use apricotknot_core::types::ServiceId;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::DutyAnswer;
use super::DutyApi;
use super::DutyApiError;
use super::DutyTools;
use super::ScalingInputs;
use super::ScalingMetrics;
use crate::clock::millis;

/// How the call of one order ended.
struct OrderOutcome {
    order: ScalingOrder,
    fence: FencingNumber,
    answer: Result<DutyAnswer, DutyApiError>,
}

/// Orders endpoints by load; runs on the control thread for the life of the node.
///
/// Every node follows the load, so that the next holder knows its recent peak.
pub struct ScalingController<S, A> {
    tools: DutyTools<S, A>,
    inputs: watch::Receiver<Rc<ScalingInputs>>,
    metrics: ScalingMetrics,
    scalers: BTreeMap<ServiceId, ServiceScaler>,
    /// Term in which the open orders were sent.
    fence: Option<FencingNumber>,
    /// Ends of the channel over which calls tell how they ended.
    outcomes: mpsc::UnboundedSender<OrderOutcome>,
    ended_calls: mpsc::UnboundedReceiver<OrderOutcome>,
}

impl<S, A: DutyApi> ScalingController<S, A> {
    /// Creates the controller of a node; `inputs` shows the newest snapshot.
    pub fn new(
        tools: DutyTools<S, A>,
        inputs: watch::Receiver<Rc<ScalingInputs>>,
        metrics: ScalingMetrics,
    ) -> Self {
        let (outcomes, ended_calls) = mpsc::unbounded_channel();
        let scalers = BTreeMap::new();
        Self { tools, inputs, metrics, scalers, fence: None, outcomes, ended_calls }
    }

    /// Orders endpoints until the control thread ends.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                changed = self.inputs.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let inputs = Rc::clone(&self.inputs.borrow_and_update());
                    self.follow(&inputs);
                },
                Some(outcome) = self.ended_calls.recv() => self.record_outcome(outcome),
            }
        }
    }

    /// Follows a snapshot, and sends the orders that are due if this node holds the duty.
    fn follow(&mut self, inputs: &ScalingInputs) {
        let is_scaled = |id: &ServiceId| inputs.services.iter().any(|known| known.service == *id);
        self.scalers.retain(|service, _| is_scaled(service));
        let fence = self.tools.permit.term(self.tools.clock.now()).map(|term| term.fence);
        let has_new_term = fence != self.fence;
        self.fence = fence;
        for sample in &inputs.services {
            let scaler = self.scalers.entry(Arc::clone(&sample.service)).or_default();
            if has_new_term {
                scaler.drop_orders();
            }
            scaler.observe(sample, inputs.as_of);
            self.metrics.set(&sample.service, &scaler.status());
            if fence.is_some() {
                let orders = scaler.take_orders(sample, inputs.as_of);
                let status = scaler.status();
                for order in orders {
                    self.send(order, status, sample, inputs);
                }
            }
        }
    }

    /// Sends one order in a task of its own, as the API may be slow.
    fn send(
        &self,
        order: ScalingOrder,
        status: ScalingStatus,
        sample: &ServiceSample,
        inputs: &ScalingInputs,
    ) {
        let now = self.tools.clock.now();
        let Some(call) = self.tools.permit.call(now) else {
            return;
        };
        info!(
            self.tools.logger, "scaling: ordered endpoints; waiting until they are announced";
            "service" => &*order.service, "data_centre" => &*order.data_centre,
            "desired" => order.desired, "wanted" => status.wanted, "present" => status.present,
            "ordered" => status.ordered, "load" => status.load, "peak" => status.peak,
            "waiting_ms" => millis(sample.load.waiting),
            "age_ms" => millis(now.saturating_sub(inputs.as_of)), "fence" => call.fence
        );
        let (api, outcomes) = (self.tools.api.clone(), self.outcomes.clone());
        actix_rt::spawn(async move {
            let answer = api.order_endpoints(&call, &order).await;
            // A closed channel means that the control thread ends.
            let _ = outcomes.send(OrderOutcome { order, fence: call.fence, answer });
        });
    }

    fn record_outcome(&mut self, outcome: OrderOutcome) {
        let OrderOutcome { order, fence, answer } = outcome;
        let logger = &self.tools.logger;
        let (service, data_centre) = (&*order.service, &*order.data_centre);
        match &answer {
            Ok(DutyAnswer::Accepted) => {},
            Ok(DutyAnswer::Fenced) => warn!(
                logger, "scaling: order refused, another node orders now; stopping";
                "service" => service, "data_centre" => data_centre, "fence" => fence
            ),
            Err(error) => warn!(
                logger, "scaling: order without an answer; sending it again later";
                "service" => service, "data_centre" => data_centre,
                "desired" => order.desired, "error" => %error
            ),
        }
        let scaler = self.scalers.get_mut(&order.service);
        let Some(scaler) = scaler.filter(|_| self.fence == Some(fence)) else {
            return;
        };
        let is_accepted = matches!(answer, Ok(DutyAnswer::Accepted));
        let as_of = self.inputs.borrow().as_of;
        scaler.record_answer(&order, is_accepted, as_of);
    }
}
