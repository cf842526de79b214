//! The stand-in for a backend server injects the faults that it is meant to.

use std::net::TcpListener;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use stand_ins::backend::{Backend, CALL_HEADER, Control, Counts, Knobs, Options, Report, pattern};
use stand_ins::history::{Ending, Event, History};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(20);
const LONG_CALL: &str = "/work?work-ms=60000";

struct Fixture {
    backend: Backend,
    history: History,
}

impl Fixture {
    fn new(options: Options) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let history = History::default();
        let backend = Backend::start(listener, options, history.clone()).unwrap();
        Fixture { backend, history }
    }

    async fn connect(&self) -> SendRequest<Empty<Bytes>> {
        let stream = TcpStream::connect(self.backend.address()).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        sender
    }

    async fn call(&self, path: &str) -> (StatusCode, Option<Bytes>) {
        call(&mut self.connect().await, path).await
    }

    async fn hold(&self, count: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let mut held = Vec::new();
        for _ in 0..count {
            let mut sender = self.connect().await;
            held.push(tokio::spawn(async move {
                let _ = sender.send_request(request(LONG_CALL)).await;
            }));
        }
        self.until(|counts| counts.started == count).await;
        held
    }

    async fn until(&self, met: impl Fn(&Counts) -> bool) {
        let polled = async {
            while !met(&self.backend.counts()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, polled).await.unwrap();
    }
}

fn request(path: &str) -> Request<Empty<Bytes>> {
    Request::get(path)
        .header("host", "backend")
        .header(CALL_HEADER, 7)
        .body(Empty::new())
        .unwrap()
}

async fn call(sender: &mut SendRequest<Empty<Bytes>>, path: &str) -> (StatusCode, Option<Bytes>) {
    let response = sender.send_request(request(path)).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await;
    (status, body.ok().map(|b| b.to_bytes()))
}

#[tokio::test]
async fn sheds_above_slots() {
    let fixture = Fixture::new(Options::default());
    let held = fixture.hold(6).await;
    let (status, _) = fixture.call("/work").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    let counts = fixture.backend.counts();
    assert_eq!((counts.peak, counts.above, counts.shed), (7, 1, 1));
    drop(held);
}

#[tokio::test]
async fn hang_up_cancels() {
    let fixture = Fixture::new(Options::default());
    let held = fixture.hold(1).await;
    for task in held {
        task.abort();
    }
    fixture.until(|counts| counts.cancelled == 1).await;
    let cancelled = |r: &stand_ins::history::Record| {
        matches!(
            r.event,
            Event::Ended {
                call: 7,
                ending: Ending::Cancelled,
                ..
            }
        )
    };
    assert!(fixture.history.sorted().iter().any(cancelled));
}

#[tokio::test]
async fn cold_overload() {
    let fixture = Fixture::new(Options {
        cold: true,
        overload_ms: 600_000,
        ..Options::default()
    });
    let held = fixture.hold(1).await;
    assert_eq!(
        fixture.call("/work").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    for task in held {
        task.abort();
    }
    fixture.until(|counts| counts.cancelled == 1).await;
    assert_eq!(
        fixture.call("/work").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[tokio::test]
async fn cold_warms_up() {
    let fixture = Fixture::new(Options {
        cold: true,
        warm_calls: 3,
        warm_ms: 600_000,
        ..Options::default()
    });
    for _ in 0..3 {
        assert_eq!(fixture.call("/work").await.0, StatusCode::OK);
    }
    let held = fixture.hold(9).await;
    assert_eq!(held.len(), 9);
}

#[rstest::rstest]
#[case::with_length("/work?size=100000")]
#[case::chunked("/work?size=100000&chunked=1")]
#[tokio::test]
async fn cut_answer(#[case] path: &str) {
    let fixture = Fixture::new(Options::default());
    fixture.backend.set(&Knobs {
        cut_answers: Some(1),
        ..Knobs::default()
    });
    assert_eq!(fixture.call(path).await, (StatusCode::OK, None));
    let (status, body) = fixture.call(path).await;
    let expected = pattern(7).repeat(100_000);
    assert_eq!(status, StatusCode::OK);
    assert!(body.is_some_and(|b| b.len() == 100_000 && expected.as_bytes().starts_with(&b)));
}

#[tokio::test]
async fn silent_for_good() {
    let fixture = Fixture::new(Options::default());
    let mut old = fixture.connect().await;
    call(&mut old, "/work").await;
    fixture.backend.set(&Knobs {
        silence: true,
        ..Knobs::default()
    });
    let asking = call(&mut old, "/work");
    let silent = tokio::time::timeout(Duration::from_millis(200), asking).await;
    assert!(silent.is_err());
    assert_eq!(fixture.call("/work").await.0, StatusCode::OK);
}

#[tokio::test]
async fn deadline_honoured() {
    let fixture = Fixture::new(Options::default());
    let mut sender = fixture.connect().await;
    let mut late = request(LONG_CALL);
    late.headers_mut()
        .insert("cardamomvale-deadline-ms", 5.into());
    let response = sender.send_request(late).await.unwrap();
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
}

#[tokio::test]
async fn false_load_report() {
    let fixture = Fixture::new(Options::default());
    let held = fixture.hold(2).await;
    let running = |body: Option<Bytes>| {
        let load: serde_json::Value = serde_json::from_slice(&body.unwrap()).unwrap();
        load["running"].as_u64().unwrap()
    };
    assert_eq!(running(fixture.call("/-/load").await.1), 2);
    fixture.backend.set(&Knobs {
        report: Some(Report::Idle),
        ..Knobs::default()
    });
    assert_eq!(running(fixture.call("/-/load").await.1), 0);
    drop(held);
}

#[tokio::test]
async fn control_port() {
    let fixture = Fixture::new(Options::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let control = listener.local_addr().unwrap();
    let backend = fixture.backend.address();
    let _control = Control::start(
        listener,
        std::slice::from_ref(&fixture.backend),
        fixture.history.clone(),
    )
    .unwrap();
    let setting = tokio::task::spawn_blocking(move || {
        ureq::post(format!("http://{control}/{backend}"))
            .send(r#"{"draining":true}"#)
            .map(|r| r.status())
    });
    assert_eq!(setting.await.unwrap().unwrap(), StatusCode::OK);
    assert_eq!(
        fixture.call("/work").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let journal = tokio::task::spawn_blocking(move || {
        let mut answer = ureq::get(format!("http://{control}/journal"))
            .call()
            .unwrap();
        answer.body_mut().read_to_string().unwrap()
    });
    let records = stand_ins::history::read_lines(journal.await.unwrap().as_bytes()).unwrap();
    assert_eq!(records, fixture.history.sorted());
}
