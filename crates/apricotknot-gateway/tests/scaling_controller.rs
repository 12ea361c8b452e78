//! Checks when the controller orders endpoints, against an API that answers as a test says.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use apricotknot_core::duty::DutyKind;
use apricotknot_core::duty::DutyTerm;
use apricotknot_core::scaling::EndpointSample;
use apricotknot_core::scaling::EndpointStatus;
use apricotknot_core::scaling::LoadSample;
use apricotknot_core::scaling::ScalingLimits;
use apricotknot_core::scaling::ScalingOrder;
use apricotknot_core::scaling::ServiceSample;
use apricotknot_core::types::MonotonicTime;
use apricotknot_core::usage::UsageReport;
use apricotknot_gateway::clock::BootClock;
use apricotknot_gateway::duties::DutyAnswer;
use apricotknot_gateway::duties::DutyApi;
use apricotknot_gateway::duties::DutyApiError;
use apricotknot_gateway::duties::DutyCall;
use apricotknot_gateway::duties::DutyPermit;
use apricotknot_gateway::duties::DutySettings;
use apricotknot_gateway::duties::DutyTools;
use apricotknot_gateway::duties::PermittedApi;
use apricotknot_gateway::duties::ScalingController;
use apricotknot_gateway::duties::ScalingInputs;
use apricotknot_gateway::duties::ScalingMetrics;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::sync::watch;

/// Time in which the controller handles a snapshot and the answers to its calls.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// How the API answers.
#[derive(Clone, Copy, Debug, Default)]
enum AnswerMode {
    #[default]
    Accept,
    Refuse,
    Fail,
    Hang,
}

/// API that records all orders, and ends the term that it refuses.
#[derive(Clone)]
struct RecordingApi {
    permit: DutyPermit,
    calls: Rc<RefCell<Vec<(u64, ScalingOrder)>>>,
    mode: Rc<Cell<AnswerMode>>,
}

impl DutyApi for RecordingApi {
    async fn report_usage(
        &self,
        _: &DutyCall,
        _: &UsageReport,
    ) -> Result<DutyAnswer, DutyApiError> {
        pending().await
    }

    async fn order_endpoints(
        &self,
        call: &DutyCall,
        order: &ScalingOrder,
    ) -> Result<DutyAnswer, DutyApiError> {
        self.calls.borrow_mut().push((call.fence, order.clone()));
        match self.mode.get() {
            AnswerMode::Accept => Ok(DutyAnswer::Accepted),
            AnswerMode::Refuse => {
                self.permit.end_term(call.fence);
                Ok(DutyAnswer::Fenced)
            },
            AnswerMode::Fail => Err(DutyApiError::TimedOut { limit: Duration::from_secs(1) }),
            AnswerMode::Hang => pending().await,
        }
    }
}

/// A running controller, with the time that its snapshots say.
struct TestController {
    api: RecordingApi,
    permit: DutyPermit,
    inputs: watch::Sender<Rc<ScalingInputs>>,
    now: MonotonicTime,
}

impl TestController {
    fn start() -> Self {
        let permit = DutyPermit::new("node-1".into());
        let api =
            RecordingApi { permit: permit.clone(), calls: Rc::default(), mode: Rc::default() };
        let (inputs, receiver) = watch::channel(Rc::default());
        let tools = DutyTools {
            node: "node-1".into(),
            permit: permit.clone(),
            api: PermittedApi::new(api.clone(), permit.clone(), BootClock),
            store: (),
            clock: BootClock,
            settings: settings(),
            logger: Logger::root(Discard, o!()),
        };
        actix_rt::spawn(ScalingController::new(tools, receiver, ScalingMetrics::default()).run());
        Self { api, permit, inputs, now: BootClock.now() }
    }

    fn hold(&self, fence: u64) {
        let until = MonotonicTime::MAX;
        self.permit.set_term(Some(DutyTerm { fence, since: MonotonicTime::ZERO, until }));
    }

    /// Shows the controller snapshots for `seconds`, in which `load` endpoints are occupied.
    async fn observe(&mut self, seconds: u64, load: f64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            let inputs = ScalingInputs { as_of: self.now, services: vec![sample(load)] };
            self.inputs.send_replace(Rc::new(inputs));
            tokio::time::sleep(SETTLE_TIME).await;
        }
    }

    /// Takes the fencing number, the data centre and the number of all calls so far.
    fn take_calls(&self) -> Vec<(u64, String, u32)> {
        let calls = self.api.calls.take().into_iter();
        calls.map(|(fence, order)| (fence, order.data_centre.to_string(), order.desired)).collect()
    }
}

fn settings() -> DutySettings {
    DutySettings {
        address: ([127, 0, 0, 1], 1).into(),
        kinds: vec![DutyKind::Autoscale],
        lease_time: Duration::from_secs(3),
        usage_window: Duration::from_secs(5),
        usage_due: Duration::from_secs(10),
        calls_per_second: 50.0,
    }
}

/// Returns ten endpoints in each of two data centres.
fn sample(load: f64) -> ServiceSample {
    let endpoint = |centre: &str, index: u32| EndpointSample {
        id: format!("{centre}-{index}").into(),
        data_centre: centre.into(),
        status: EndpointStatus::Ready,
    };
    let endpoints =
        ["a", "b"].into_iter().flat_map(|centre| (0..10).map(move |index| endpoint(centre, index)));
    ServiceSample {
        service: "model".into(),
        limits: ScalingLimits { min: 5, max: 30, boot_time: Duration::from_secs(8) },
        slots: 12,
        engine: None,
        load: LoadSample { prefilling: load, ..LoadSample::default() },
        endpoints: endpoints.collect(),
        evacuated: BTreeSet::new(),
    }
}

#[actix_rt::test]
async fn only_the_holder_orders_and_all_nodes_follow_the_load() {
    let mut controller = TestController::start();
    controller.observe(10, 25.0).await;
    assert!(controller.take_calls().is_empty());

    controller.hold(3);
    controller.observe(1, 25.0).await;
    let calls = controller.take_calls();
    assert_eq!(calls, [(3, "a".to_owned(), 25), (3, "b".to_owned(), 25)]);
    controller.observe(10, 25.0).await;
    assert!(controller.take_calls().is_empty(), "the endpoints are on their way");
}

#[actix_rt::test]
async fn order_without_an_answer_is_sent_again_at_growing_intervals() {
    let mut controller = TestController::start();
    controller.api.mode.set(AnswerMode::Fail);
    controller.hold(1);
    controller.observe(64, 25.0).await;
    let calls = controller.take_calls();
    assert!((4..=16).contains(&calls.len()), "{calls:?}");
}

#[actix_rt::test]
async fn silent_call_holds_up_no_other_one() {
    let mut controller = TestController::start();
    controller.api.mode.set(AnswerMode::Hang);
    controller.hold(1);
    controller.observe(5, 25.0).await;
    assert_eq!(controller.take_calls().len(), 2);
}

#[actix_rt::test]
async fn refused_holder_orders_no_more_and_the_next_term_begins_anew() {
    let mut controller = TestController::start();
    controller.api.mode.set(AnswerMode::Refuse);
    controller.hold(1);
    controller.observe(30, 25.0).await;
    let calls = controller.take_calls();
    assert!(calls.len() <= 2 && calls.iter().all(|(fence, ..)| *fence == 1), "{calls:?}");

    controller.api.mode.set(AnswerMode::Accept);
    controller.hold(5);
    controller.observe(2, 25.0).await;
    let calls = controller.take_calls();
    assert_eq!(calls, [(5, "a".to_owned(), 25), (5, "b".to_owned(), 25)]);
}
