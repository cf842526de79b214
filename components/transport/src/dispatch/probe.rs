//! Probes an endpoint for its load report.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use protocol::answer_head::{self, Expected};
use serde::Deserialize;
use state::capacity::{LoadReport, Readiness};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The path at which backend servers serve their load report.
const REPORT_PATH: &str = "/-/load";
/// The longest report that is read, in bytes.
const MAX_REPORT_SIZE: usize = 4_096;
/// How long a probe may take; a later report would be out of date.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Report {
    boot: String,
    state: String,
    running: u32,
}

/// Returns the load report of the endpoint at `address`, none if it can't be read in time.
///
/// Each probe opens a connection of its own: an idle one kept for probes might
/// have gone silent, and a backend server that is alive would then look lost.
pub async fn fetch_report(address: SocketAddr) -> Option<LoadReport> {
    timeout(PROBE_TIMEOUT, exchange(address))
        .await
        .ok()
        .flatten()
}

async fn exchange(address: SocketAddr) -> Option<LoadReport> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::get(REPORT_PATH)
        .header(HOST, address.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let answer = async {
        let response = sender.send_request(request).await.ok()?;
        let expected = Expected::of(&Method::GET, &HeaderMap::new());
        answer_head::check(response.status(), response.headers(), expected).ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_SIZE);
        Some(body.collect().await.ok()?.to_bytes())
    };
    // The connection may end at the same moment as the answer. If its end counted
    // as a failure, most reports would be lost, and each endpoint would be taken
    // for cold until its answers had shown that it is warm.
    let (body, _) = tokio::join!(answer, connection);
    parse_report(&body?)
}

/// Parses a report, none if any part of it is invalid.
fn parse_report(body: &[u8]) -> Option<LoadReport> {
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
