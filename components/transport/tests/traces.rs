//! Traces of calls: their spans, the caller's `traceparent`, and sampling.

mod support;

use std::sync::{Arc, Mutex};

use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use support::{EdgeServer, Reply, ScriptedServer, field, ok, until};
use transport::trace::Tracing;

const CALLER_TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[derive(Clone, Debug, Default)]
struct CollectedSpans(Arc<Mutex<Vec<SpanData>>>);

impl SpanExporter for CollectedSpans {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.0.lock().expect("spans").extend(batch);
        Ok(())
    }
}

impl CollectedSpans {
    fn spans(&self) -> Vec<SpanData> {
        self.0.lock().expect("spans").clone()
    }

    fn named(&self, name: &str) -> SpanData {
        let spans = self.spans();
        let span = spans.iter().find(|span| span.name == name);
        span.expect("a span of this name").clone()
    }
}

fn get_traced(traceparent: &str) -> String {
    format!(
        "GET /hallboard/ HTTP/1.1\r\nhost: e\r\ntraceparent: {traceparent}\r\nconnection: close\r\n\r\n"
    )
}

/// A traced call gets a span for itself, for its wait for a slot and for the
/// backend server, all in the caller's trace.
#[tokio::test]
async fn span_each_hop() {
    let collected = CollectedSpans::default();
    let server = ScriptedServer::always(Reply::Keep(ok("free"))).await;
    let edge_server =
        EdgeServer::traced(&[&server], Tracing::new(1, "entry-1", collected.clone())).await;
    assert_eq!(
        edge_server
            .call(&get_traced(CALLER_TRACEPARENT))
            .await
            .text(),
        "free"
    );
    until(|| collected.spans().len() == 3).await;
    let call = collected.named("call");
    let trace = "0af7651916cd43dd8448eb211c80319c";
    assert_eq!(call.span_context.trace_id().to_string(), trace);
    assert_eq!(call.parent_span_id.to_string(), "b7ad6b7169203331");
    let backend = collected.named("backend");
    for span in [&collected.named("queue"), &backend] {
        assert_eq!(span.span_context.trace_id().to_string(), trace);
        assert_eq!(span.parent_span_id, call.span_context.span_id());
    }
    let forwarded = field(&server.requests()[0].head, "traceparent").expect("a traceparent");
    assert_eq!(
        forwarded,
        format!("00-{trace}-{}-01", backend.span_context.span_id())
    );
}

/// A call that isn't traced must forward a valid `traceparent` unchanged, and drop
/// a malformed one.
#[tokio::test]
async fn untraced_forwards() {
    let server = ScriptedServer::always(Reply::Keep(ok("free"))).await;
    let edge_server = EdgeServer::start(&[&server]).await;
    edge_server.call(&get_traced(CALLER_TRACEPARENT)).await;
    edge_server.call(&get_traced("00-nonsense")).await;
    let forwarded: Vec<_> = server
        .requests()
        .iter()
        .map(|s| field(&s.head, "traceparent"))
        .collect();
    assert_eq!(forwarded, [Some(CALLER_TRACEPARENT.to_owned()), None]);
}

/// A call whose caller declines sampling isn't sampled; of the others one in three is.
#[tokio::test]
async fn sampled_at_rate() {
    let collected = CollectedSpans::default();
    let server = ScriptedServer::always(Reply::Keep(ok("free"))).await;
    let edge_server =
        EdgeServer::traced(&[&server], Tracing::new(3, "entry-1", collected.clone())).await;
    let declined = CALLER_TRACEPARENT.replace("-01", "-00");
    for _ in 0..6 {
        edge_server.call(&get_traced(&declined)).await;
        edge_server.call(&get_traced(CALLER_TRACEPARENT)).await;
    }
    until(|| collected.spans().len() >= 6).await;
    let calls = collected
        .spans()
        .iter()
        .filter(|s| s.name == "call")
        .count();
    assert_eq!(calls, 2);
}
