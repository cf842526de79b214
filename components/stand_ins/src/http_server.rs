//! The HTTP server of the stand-ins' ports, on a thread of its own.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// The largest body of a request that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The most requests answered at once; a read that waits for a record takes one of them.
const MAX_REQUESTS: usize = 4_096;

/// The pause after a connection could not be accepted, as when files run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The answer to a request.
pub type Answer = Response<Full<Bytes>>;

/// Answers one request and may block; `None` leaves it without an answer for good.
pub type Handler = Arc<dyn Fn(&Request<Bytes>) -> Option<Answer> + Send + Sync>;

/// A server that runs until it is dropped, which closes its connections.
pub struct HttpServer {
    _running: oneshot::Sender<()>,
}

impl HttpServer {
    /// Serves `listener` with `handler` on a thread called `name`.
    ///
    /// Every connection is served at once, no matter how many others are open.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used or no thread can be started.
    pub fn start(name: &str, listener: TcpListener, handler: Handler) -> io::Result<HttpServer> {
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(MAX_REQUESTS)
            .build()?;
        let (running, dropped) = oneshot::channel();
        std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(runtime, listener, handler, dropped))?;
        Ok(HttpServer { _running: running })
    }
}

fn run(runtime: Runtime, listener: TcpListener, handler: Handler, dropped: oneshot::Receiver<()>) {
    runtime.block_on(async {
        tokio::select! {
            error = accept(listener, handler) => {
                log::error!("E0904 stand-in-closed error=\"{error}\"");
            }
            _ = dropped => {}
        }
    });
    runtime.shutdown_background();
}

/// Accepts connections without end; returns the error if the listener can't be used.
async fn accept(listener: TcpListener, handler: Handler) -> io::Error {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return error,
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, Arc::clone(&handler)));
            }
            Err(error) => {
                log::warn!("E0902 stand-in-accept-failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, handler: Handler) {
    // With Nagle's algorithm an answer of more than one write would wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(request, handler).await) }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The client may have disconnected, which is no fault of the stand-in.
    let _ = serving.await;
}

async fn answer(request: Request<Incoming>, handler: Handler) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return text(
            StatusCode::BAD_REQUEST,
            "the body is too long or was cut off",
        );
    };
    let request = Request::from_parts(head, body.to_bytes());
    match spawn_blocking(move || handler(&request)).await {
        Ok(Some(answer)) => answer,
        Ok(None) => pending().await,
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Returns an answer with a text.
pub fn text(status: StatusCode, text: &str) -> Answer {
    data(status, format!("{text}\n").into_bytes())
}

/// Returns an answer with a body.
pub fn data(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer
}
