//! Asks an endpoint for its load report.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use state::capacity::{LoadReport, Readiness};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Where backend servers give their load report.
const PATH: &str = "/-/load";
/// The longest report read, in bytes.
const LIMIT: usize = 4_096;
/// A report that takes longer is of no use.
const PATIENCE: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Report {
    boot: String,
    state: String,
    running: u32,
}

/// Returns the load report of the endpoint at `address`, none where there is no sound one.
///
/// Each probe opens its own connection: an idle one kept for it might have
/// gone silent, and would then show a living backend server as lost.
pub async fn ask(address: SocketAddr) -> Option<LoadReport> {
    timeout(PATIENCE, exchange(address)).await.ok().flatten()
}

async fn exchange(address: SocketAddr) -> Option<LoadReport> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::get(PATH)
        .header(HOST, address.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), LIMIT);
        Some(body.collect().await.ok()?.to_bytes())
    };
    // The connection may end in the same instant as the answer. Were its end
    // taken for a failure, most reports would be lost, and each endpoint would
    // count as cold until its answers have proven it.
    let (body, _) = tokio::join!(answer, connection);
    read(&body?)
}

/// Reads a report; distrusts all of it.
fn read(body: &[u8]) -> Option<LoadReport> {
    let report: Report = serde_json::from_slice(body).ok()?;
    let readiness = match report.state.as_str() {
        "cold" => Readiness::Cold,
        "warm" => Readiness::Warm,
        "draining" => Readiness::Draining,
        _ => return None,
    };
    Some(LoadReport {
        boot: report.boot,
        readiness,
        running: report.running,
    })
}
