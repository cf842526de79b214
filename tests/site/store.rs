//! The platform's store in small, with its faults.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// How the store behaves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Up,
    /// It answers 503 to all.
    Refusing,
    /// It answers nothing.
    Silent,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Option<String>)>,
    first: usize,
}

struct Inner {
    topics: Mutex<BTreeMap<String, Topic>>,
    mode: Mutex<Mode>,
    calls: Mutex<u32>,
    written: Notify,
}

/// A running store.
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

impl Store {
    pub async fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let inner = Arc::new(Inner {
            topics: Mutex::default(),
            mode: Mutex::new(Mode::Up),
            calls: Mutex::default(),
            written: Notify::new(),
        });
        let shared = Arc::clone(&inner);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let inner = Arc::clone(&shared);
                tokio::spawn(async move {
                    let service = service_fn(|request| answer(request, Arc::clone(&inner)));
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Store { address, inner }
    }

    /// Writes under a key, or drops it.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut topics = self.inner.topics.lock().expect("no test panics here");
        let topic = topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.map(str::to_owned)));
        drop(topics);
        self.inner.written.notify_waiters();
    }

    /// Forgets the records of a topic but for the newest of each key.
    pub fn forget(&self, topic: &str) {
        let mut topics = self.inner.topics.lock().expect("no test panics here");
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.first = topic.records.len();
    }

    pub fn set(&self, mode: Mode) {
        *self.inner.mode.lock().expect("no test panics here") = mode;
    }

    /// Returns how many calls came.
    pub fn calls(&self) -> u32 {
        *self.inner.calls.lock().expect("no test panics here")
    }
}

async fn answer(
    request: Request<Incoming>,
    inner: Arc<Inner>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    *inner.calls.lock().expect("no test panics here") += 1;
    let mode = *inner.mode.lock().expect("no test panics here");
    match mode {
        Mode::Refusing => return Ok(status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
        Mode::Silent => sleep(Duration::from_secs(3_600)).await,
        Mode::Up => {}
    }
    let query: BTreeMap<String, String> = request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), v.to_owned()))
        .collect();
    let topic = query.get("topic").cloned().unwrap_or_default();
    Ok(match request.uri().path() {
        "/log-newest" => newest(&inner, &topic),
        "/log-read" => read(&inner, &topic, &query).await,
        "/log-join" => status(
            StatusCode::OK,
            Bytes::from_static(
                br#"{"generation":1,"sessionTimeoutS":9,"parts":[["hosts-0",0,0]]}"#,
            ),
        ),
        "/log-owners" => status(StatusCode::OK, Bytes::from_static(br#"{"owners":[]}"#)),
        _ => status(StatusCode::NOT_FOUND, Bytes::new()),
    })
}

fn newest(inner: &Inner, topic: &str) -> Response<Full<Bytes>> {
    let topics = inner.topics.lock().expect("no test panics here");
    let mut items = BTreeMap::new();
    let mut end = 0;
    if let Some(topic) = topics.get(topic) {
        end = topic.records.len();
        for (key, value) in &topic.records {
            match value {
                Some(value) => items.insert(key, value),
                None => items.remove(key),
            };
        }
    }
    let items: Vec<String> = items
        .into_iter()
        .map(|(k, v)| {
            format!(
                r#"{{"key":"{k}","value":"{}","offset":0}}"#,
                STANDARD.encode(v)
            )
        })
        .collect();
    let body = format!(
        r#"{{"items":[{}],"hasMore":false,"endOffset":{end}}}"#,
        items.join(",")
    );
    status(StatusCode::OK, Bytes::from(body))
}

async fn read(
    inner: &Inner,
    name: &str,
    query: &BTreeMap<String, String>,
) -> Response<Full<Bytes>> {
    let from: usize = query["from"].parse().expect("an offset");
    let wait: u64 = query
        .get("waitTimeoutMs")
        .map_or(0, |w| w.parse().expect("a time"));
    let last = Instant::now() + Duration::from_millis(wait);
    loop {
        let written = inner.written.notified();
        if let Some(response) = read_now(inner, name, from, Instant::now() >= last) {
            return response;
        }
        let _ = timeout_at(last, written).await;
    }
}

fn read_now(inner: &Inner, name: &str, from: usize, over: bool) -> Option<Response<Full<Bytes>>> {
    let mut topics = inner.topics.lock().expect("no test panics here");
    let topic = topics.entry(name.to_owned()).or_default();
    if from < topic.first {
        return Some(status(StatusCode::GONE, Bytes::new()));
    }
    let records = topic.records.get(from..).unwrap_or_default();
    if records.is_empty() && !over {
        return None;
    }
    let mut body = Vec::new();
    body.extend((topic.records.len() as u64).to_be_bytes());
    body.extend((topic.first as u64).to_be_bytes());
    for (key, value) in records {
        let value = value.as_deref().unwrap_or_default();
        let length = 1 + key.len() + value.len();
        body.extend(u32::try_from(length).expect("a short record").to_be_bytes());
        body.push(u8::try_from(key.len()).expect("a short key"));
        body.extend(key.as_bytes());
        body.extend(value.as_bytes());
    }
    Some(status(StatusCode::OK, Bytes::from(body)))
}

fn status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
