//! Clients that send requests at a steady rate, and what they were answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::client;
use super::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request that a client sent, and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub id: String,
    pub node: String,
    pub label: String,
    /// 0 if there was no answer.
    pub status: u16,
    pub answered_at: Duration,
}

/// What a client sends: the head without id and length, the body, and a label for the record.
#[derive(Clone, Debug)]
pub struct Template {
    pub head: String,
    pub body: String,
    pub label: String,
    pub wait: Duration,
}

#[derive(Clone)]
pub struct Traffic {
    record: Record,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Traffic {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), sent: Arc::default() }
    }

    /// Sends one request and waits for its answer.
    pub fn send(&self, node: &str, address: SocketAddr, template: &Template) -> Sent {
        let id = format!("{:016x}", 0xa000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let at = self.record.now();
        self.record.write_at(at, &format!("client sends {id} ({}) to {node}", template.label));
        let head = format!("{}Request-Id: {id}\r\n", template.head);
        let answer = client::send(address, &head, &template.body, template.wait);
        let answered_at = self.record.now();
        let sent = Sent {
            at,
            id: id.clone(),
            node: node.to_owned(),
            label: template.label.clone(),
            status: answer.status,
            answered_at,
        };
        self.record.write_at(answered_at, &format!("client gets {} for {id}", answer.status));
        self.sent.lock().expect("sent").push(sent.clone());
        sent
    }

    /// Sends requests to one node, one each `gap`, in turn from `templates`, until `until`; each has
    /// its own connection.
    pub fn start(
        &self,
        node: &str,
        address: SocketAddr,
        gap: Duration,
        until: Duration,
        templates: impl Fn(usize) -> Template + Send + 'static,
    ) -> thread::JoinHandle<()> {
        let (traffic, node) = (self.clone(), node.to_owned());
        thread::spawn(move || {
            let mut open = Vec::new();
            let mut count = 0;
            while traffic.record.now() < until {
                let (traffic, node, template) = (traffic.clone(), node.clone(), templates(count));
                open.push(thread::spawn(move || _ = traffic.send(&node, address, &template)));
                count += 1;
                thread::sleep(gap);
            }
            for thread in open {
                let _ = thread.join();
            }
        })
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("sent").clone()
    }
}
