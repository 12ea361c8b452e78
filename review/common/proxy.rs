//! A TCP proxy whose open connections can go silent for good while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::http;

#[derive(Clone)]
pub struct Proxy {
    /// Connections of an earlier generation are silent.
    generation: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    pub address: SocketAddr,
}

impl Proxy {
    pub fn start(ip: &str, target: SocketAddr) -> Self {
        let generation = Arc::new(AtomicU64::new(0));
        let open = Arc::new(AtomicUsize::new(0));
        let (known, counted) = (Arc::clone(&generation), Arc::clone(&open));
        let address = http::listen(ip, move |stream| {
            let Ok(onward) = TcpStream::connect(target) else { return };
            let _ = onward.set_nodelay(true);
            counted.fetch_add(1, Ordering::SeqCst);
            let own = known.load(Ordering::SeqCst);
            let (Ok(from), Ok(to)) = (stream.try_clone(), onward.try_clone()) else { return };
            let back_known = Arc::clone(&known);
            let back = thread::spawn(move || pump(onward, stream, own, &back_known));
            pump(from, to, own, &known);
            let _ = back.join();
            counted.fetch_sub(1, Ordering::SeqCst);
        })
        .address;
        Self { generation, open, address }
    }

    /// Makes all open connections silent, without a reset; new ones work.
    pub fn silence_open(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, own: u64, known: &AtomicU64) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if known.load(Ordering::SeqCst) != own {
            // Silent for good: nothing passes, not even the end of the connection.
            thread::sleep(Duration::from_secs(200));
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
