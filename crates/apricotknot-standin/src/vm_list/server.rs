//! The list's HTTP interface.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use serde_json::Value;
use serde_json::json;

use crate::http::HttpCall;
use crate::http::HttpHandler;
use crate::http::HttpReply;
use crate::http::ServerControl;
use crate::http::StandinError;
use crate::http::StandinServer;

/// Runs a stand-in list of VMs until it is dropped.
#[derive(Debug)]
pub struct VmListServer {
    server: StandinServer,
}

impl VmListServer {
    /// Starts an empty list, whose changes become visible after `lag`, on its own thread.
    ///
    /// `PUT /vms` replaces the list; `GET /vms` returns the newest version that is at least `lag`
    /// old, or the first version if none is.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr, lag: Duration) -> Result<Self, StandinError> {
        let build = move |control| {
            let versions = RefCell::new(vec![(Instant::now(), json!({"vms": []}))]);
            Rc::new(VmListHandler { lag, versions, control })
        };
        Ok(Self { server: StandinServer::start(address, build)? })
    }

    /// Waits until the list's thread has ended.
    pub fn wait(self) {
        self.server.wait();
    }
}

impl Deref for VmListServer {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

/// Answers requests on the list's thread and keeps all versions of the list.
struct VmListHandler {
    lag: Duration,
    versions: RefCell<Vec<(Instant, Value)>>,
    control: Rc<ServerControl>,
}

impl HttpHandler for VmListHandler {
    async fn handle(self: Rc<Self>, call: HttpCall) -> HttpReply {
        if call.path != "/vms" {
            return HttpReply::json(404, &json!({"error": "no such path"}));
        }
        if call.method == Method::PUT {
            self.versions.borrow_mut().push((Instant::now(), call.json()));
            return HttpReply::json(200, &json!({}));
        }
        let versions = self.versions.borrow();
        let shown = versions.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        let shown = shown.or_else(|| versions.first()).map(|(_, list)| list.clone());
        HttpReply::json(200, &shown.unwrap_or(Value::Null))
    }

    fn crash(self: Rc<Self>) {
        self.control.take_down();
    }
}
