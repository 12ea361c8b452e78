//! The server's thread, its accept loop and its handle.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use super::HttpCall;
use super::HttpReply;
use super::ServerCommand;
use super::ServerControl;
use super::StandinError;

/// Size of each connection's send buffer, in bytes.
const SEND_BUFFER_BYTES: usize = 8 * 1_024;

/// Time between attempts to bind the address again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Answers the requests of one stand-in on its own thread.
pub(crate) trait HttpHandler: 'static {
    /// Answers one request.
    fn handle(self: Rc<Self>, call: HttpCall) -> impl Future<Output = HttpReply> + 'static;

    /// Applies the effects of a crash; an implementation may close the connections.
    fn crash(self: Rc<Self>);

    /// Pauses or resumes the work that the stand-in does between requests.
    fn freeze(&self, _frozen: bool) {}
}

/// Runs a stand-in on its own thread until it is dropped.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    commands: UnboundedSender<ServerCommand>,
    thread: Option<JoinHandle<()>>,
}

impl StandinServer {
    /// Starts a thread that builds the handler with `build` and serves it on `address`.
    pub(crate) fn start<H, F>(address: SocketAddr, build: F) -> Result<Self, StandinError>
    where
        H: HttpHandler,
        F: FnOnce(Rc<ServerControl>) -> Rc<H> + Send + 'static,
    {
        let listen = |source| StandinError::Listen { address, source };
        let listener = StdListener::bind(address).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        limit_send_buffer(&listener);
        let bound = listener.local_addr().map_err(listen)?;
        let (sender, receiver) = unbounded_channel();
        let commands = sender.clone();
        let thread = thread::Builder::new()
            .name(format!("standin-{}", bound.port()))
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let control = Rc::new(ServerControl::new(sender));
                    let handler = build(Rc::clone(&control));
                    run_server(listener, bound, handler, control, receiver).await;
                });
            })
            .map_err(StandinError::Thread)?;
        Ok(Self { address: bound, commands, thread: Some(thread) })
    }

    /// Crashes the stand-in in the same way as an internal fault.
    pub fn crash(&self) {
        let _ = self.commands.send(ServerCommand::Crash);
    }

    /// Stops all work and answers while connections stay open (`true`), or resumes (`false`).
    pub fn freeze(&self, frozen: bool) {
        let _ = self.commands.send(ServerCommand::Freeze(frozen));
    }

    /// Closes all connections and refuses new ones; the stand-in keeps its state.
    pub fn take_down(&self) {
        let _ = self.commands.send(ServerCommand::Down);
    }

    /// Accepts connections again.
    pub fn bring_up(&self) {
        let _ = self.commands.send(ServerCommand::Up);
    }

    /// Stops the thread and waits until it has ended.
    pub fn stop(&mut self) {
        let _ = self.commands.send(ServerCommand::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Waits until the stand-in's thread has ended.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Holds whether the stand-in is frozen, and wakes the tasks that wait until it is not.
#[derive(Default)]
struct FreezeSwitch {
    frozen: Cell<bool>,
    unfrozen: Notify,
}

impl FreezeSwitch {
    fn set(&self, frozen: bool) {
        self.frozen.set(frozen);
        if !frozen {
            self.unfrozen.notify_waiters();
        }
    }

    async fn wait_unfrozen(&self) {
        while self.frozen.get() {
            self.unfrozen.notified().await;
        }
    }
}

async fn run_server<H: HttpHandler>(
    listener: StdListener,
    address: SocketAddr,
    handler: Rc<H>,
    control: Rc<ServerControl>,
    mut commands: UnboundedReceiver<ServerCommand>,
) {
    let mut listener = TcpListener::from_std(listener).ok();
    let freeze_switch = Rc::new(FreezeSwitch::default());
    loop {
        tokio::select! {
            accepted = accept(listener.as_ref(), &freeze_switch) => {
                if let Ok((stream, peer)) = accepted {
                    let connection = serve_connection(
                        stream,
                        peer,
                        Rc::clone(&handler),
                        Rc::clone(&control),
                        Rc::clone(&freeze_switch),
                    );
                    actix_rt::spawn(connection);
                }
            },
            command = commands.recv() => match command {
                Some(ServerCommand::Crash) => Rc::clone(&handler).crash(),
                Some(ServerCommand::Freeze(frozen)) => {
                    freeze_switch.set(frozen);
                    handler.freeze(frozen);
                },
                Some(ServerCommand::Down) => {
                    listener = None;
                    control.set_down(true);
                    control.disconnect_all();
                },
                Some(ServerCommand::Up) => {
                    control.set_down(false);
                    if listener.is_none() {
                        listener = Some(rebind(address).await);
                    }
                },
                Some(ServerCommand::Stop) | None => return,
            },
        }
    }
}

async fn accept(
    listener: Option<&TcpListener>,
    freeze_switch: &FreezeSwitch,
) -> io::Result<(TcpStream, SocketAddr)> {
    freeze_switch.wait_unfrozen().await;
    match listener {
        Some(listener) => listener.accept().await,
        None => pending().await,
    }
}

/// Limits the bytes that the operating system buffers for a peer that does not read.
///
/// Accepted connections inherit the limit from the listener.
fn limit_send_buffer<'s>(listener: impl Into<SockRef<'s>>) {
    let _ = listener.into().set_send_buffer_size(SEND_BUFFER_BYTES);
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                limit_send_buffer(&listener);
                return listener;
            },
            Err(_) => actix_rt::time::sleep(REBIND_INTERVAL).await,
        }
    }
}

async fn serve_connection<H: HttpHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Rc<H>,
    control: Rc<ServerControl>,
    freeze_switch: Rc<FreezeSwitch>,
) {
    if control.is_down() {
        return;
    }
    let disconnect = control.register(peer);
    let inner = Rc::clone(&control);
    let answer = fn_service(move |request: Request| {
        let handler = Rc::clone(&handler);
        let control = Rc::clone(&inner);
        let freeze_switch = Rc::clone(&freeze_switch);
        async move { Ok::<_, Infallible>(respond(request, handler, control, freeze_switch).await) }
    });
    let factory = HttpService::build()
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .keep_alive(Duration::from_secs(75))
        .tcp_nodelay(true)
        .h1_allow_half_closed(false)
        .h1(answer)
        .tcp();
    if let Ok(service) = factory.new_service(()).await {
        tokio::select! {
            _ = service.call(stream) => {},
            () = disconnect.notified() => {},
        }
    }
    control.unregister(peer);
}

async fn respond<H: HttpHandler>(
    mut request: Request,
    handler: Rc<H>,
    control: Rc<ServerControl>,
    freeze_switch: Rc<FreezeSwitch>,
) -> Response<BoxBody> {
    freeze_switch.wait_unfrozen().await;
    let peer = request.peer_addr();
    let body = read_body(&mut request).await;
    let call = HttpCall {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    let reply = handler.handle(call).await;
    freeze_switch.wait_unfrozen().await;
    match reply {
        HttpReply::Answer(response) if !control.is_down() => return response,
        HttpReply::Answer(_) => {},
        HttpReply::Disconnect => {
            if let Some(peer) = peer {
                control.disconnect(peer);
            }
        },
        HttpReply::Hang => {},
    }
    pending().await
}

async fn read_body(request: &mut Request) -> Bytes {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.freeze()
}
