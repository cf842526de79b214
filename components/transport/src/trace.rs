//! Traces of calls: a span for the call and for each step of it, under the
//! caller's `traceparent`.
//!
//! Spans are made and exported by the OpenTelemetry library. A call only puts
//! its finished spans into a bounded queue; when the queue is full, a span is
//! dropped and counted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use futures_util::FutureExt;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use metrics::{Counter, counter};
use opentelemetry::trace::{
    SpanBuilder, SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState,
    Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{
    SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter, SpanProcessor,
};

/// The header field that carries trace id and parent span id (W3C Trace Context).
const TRACEPARENT_HEADER: HeaderName = HeaderName::from_static("traceparent");

/// How many finished spans may wait to be exported.
const MAX_QUEUED_SPANS: usize = 4_096;

/// How many spans are exported at once.
const MAX_BATCH_SIZE: usize = 512;

/// How long a batch that is not full waits for another span.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Decides which calls are traced, and creates their spans.
pub struct Tracing {
    every: u64,
    count: AtomicU64,
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

/// The trace of one call; without effect for a call that isn't traced.
pub struct CallTrace {
    tracer: Option<SdkTracer>,
    root: CallSpan,
}

/// One span of a call's trace, which ends when dropped; none if the call isn't traced.
pub struct CallSpan(Option<Context>);

impl Tracing {
    /// Returns a tracing that samples no call.
    pub fn disabled() -> Tracing {
        Tracing {
            every: 0,
            count: AtomicU64::new(0),
            provider: None,
            tracer: None,
        }
    }

    /// Returns a tracing that samples one call in `every`, none if 0, and exports
    /// the spans by `exporter` with the attribute `host.name`.
    pub fn new(every: u64, host: &str, exporter: impl SpanExporter + 'static) -> Tracing {
        if every == 0 {
            return Tracing::disabled();
        }
        let resource = Resource::builder()
            .with_service_name("cardamomvale")
            .with_attribute(KeyValue::new("host.name", host.to_owned()))
            .build();
        let provider = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_span_processor(SpanQueue::start(exporter))
            .build();
        Tracing {
            every,
            count: AtomicU64::new(0),
            tracer: Some(provider.tracer("cardamomvale")),
            provider: Some(provider),
        }
    }

    /// Begins the trace of a call with the header fields `headers`, if the call is sampled.
    ///
    /// A call whose caller declines sampling is not sampled. One whose caller
    /// requests it is still sampled at the configured rate only: callers must
    /// not decide what tracing costs this host.
    pub fn start_call(&self, headers: &HeaderMap) -> CallTrace {
        let parent = headers.get(TRACEPARENT_HEADER).and_then(parse_traceparent);
        let declined = parent.as_ref().is_some_and(|p| !p.is_sampled());
        match &self.tracer {
            Some(tracer) if !declined && self.is_due() => {
                let context = match parent {
                    Some(parent) => Context::new().with_remote_span_context(parent),
                    None => Context::new(),
                };
                let root = start_span(tracer, "call", SpanKind::Server, &context);
                CallTrace {
                    tracer: Some(tracer.clone()),
                    root,
                }
            }
            _ => CallTrace {
                tracer: None,
                root: CallSpan(None),
            },
        }
    }

    /// Exports the spans that are still queued.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            let _ = provider.force_flush();
        }
    }

    fn is_due(&self) -> bool {
        self.count
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(self.every)
    }
}

impl CallTrace {
    /// Begins a span within the entry host.
    pub fn internal_span(&self, name: &'static str) -> CallSpan {
        self.child(name, SpanKind::Internal)
    }

    /// Begins a span for the call to a backend server, and sets `traceparent` to that span.
    ///
    /// For a call that isn't traced, a valid `traceparent` of the caller's is
    /// forwarded unchanged, and a malformed one is removed.
    pub fn client_span(&self, name: &'static str, headers: &mut HeaderMap) -> CallSpan {
        let span = self.child(name, SpanKind::Client);
        match span.header() {
            Some(value) => drop(headers.insert(TRACEPARENT_HEADER, value)),
            None if headers
                .get(TRACEPARENT_HEADER)
                .is_some_and(|v| parse_traceparent(v).is_none()) =>
            {
                headers.remove(TRACEPARENT_HEADER);
            }
            None => {}
        }
        span
    }

    /// Returns whether this call is traced, so that computing an attribute's value is
    /// worthwhile.
    pub fn is_sampled(&self) -> bool {
        self.tracer.is_some()
    }

    /// Sets an attribute of the span of the whole call.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.root.set_attribute(key, value);
    }

    fn child(&self, name: &'static str, kind: SpanKind) -> CallSpan {
        match (&self.tracer, &self.root.0) {
            (Some(tracer), Some(context)) => start_span(tracer, name, kind, context),
            _ => CallSpan(None),
        }
    }
}

impl CallSpan {
    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        if let Some(context) = &self.0 {
            context.span().set_attribute(KeyValue::new(key, value));
        }
    }

    fn header(&self) -> Option<HeaderValue> {
        let span = self.0.as_ref()?.span().span_context().clone();
        let text = format!("00-{}-{}-01", span.trace_id(), span.span_id());
        HeaderValue::try_from(text).ok()
    }
}

fn start_span(
    tracer: &SdkTracer,
    name: &'static str,
    kind: SpanKind,
    parent: &Context,
) -> CallSpan {
    let builder = SpanBuilder::from_name(name).with_kind(kind);
    let span = tracer.build_with_context(builder, parent);
    CallSpan(Some(parent.with_span(span)))
}

/// Parses a `traceparent` field, none if it is malformed.
fn parse_traceparent(value: &HeaderValue) -> Option<SpanContext> {
    let mut parts = value.to_str().ok()?.split('-');
    let version = parts.next()?;
    let trace = TraceId::from_hex(parts.next().filter(|t| t.len() == 32)?).ok()?;
    let span = SpanId::from_hex(parts.next().filter(|t| t.len() == 16)?).ok()?;
    let flags = u8::from_str_radix(parts.next().filter(|t| t.len() == 2)?, 16).ok()?;
    let surplus = parts.next().is_some();
    let context = SpanContext::new(trace, span, TraceFlags::new(flags), true, TraceState::NONE);
    match version.len() {
        2 if version != "ff" && !(version == "00" && surplus) && context.is_valid() => {
            Some(context)
        }
        _ => None,
    }
}

/// The queue of finished spans for the thread that exports them.
#[derive(Debug)]
struct SpanQueue {
    sender: SyncSender<Item>,
}

enum Item {
    Span(Box<SpanData>),
    Flush(SyncSender<()>),
}

impl SpanQueue {
    fn start(exporter: impl SpanExporter + 'static) -> SpanQueue {
        let (sender, receiver) = sync_channel(MAX_QUEUED_SPANS);
        thread::spawn(move || export_spans(&receiver, &exporter));
        SpanQueue { sender }
    }

    fn drop_counter() -> Counter {
        counter!("cardamomvale_spans_dropped_total")
    }
}

impl SpanProcessor for SpanQueue {
    fn on_start(&self, _span: &mut Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        if self.sender.try_send(Item::Span(Box::new(span))).is_err() {
            SpanQueue::drop_counter().increment(1);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        let (done, wait) = sync_channel(1);
        let sent = self.sender.try_send(Item::Flush(done));
        match sent.map(|()| wait.recv_timeout(BATCH_TIMEOUT * 4)) {
            Ok(Ok(())) => Ok(()),
            _ => Err(OTelSdkError::Timeout(BATCH_TIMEOUT * 4)),
        }
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        self.force_flush()
    }
}

/// Exports spans in batches, until the queue's sending end is dropped.
fn export_spans(receiver: &Receiver<Item>, exporter: &impl SpanExporter) {
    let mut batch = Vec::new();
    loop {
        let flushed = match receiver.recv_timeout(BATCH_TIMEOUT) {
            Ok(Item::Span(span)) => {
                batch.push(*span);
                if batch.len() < MAX_BATCH_SIZE {
                    continue;
                }
                None
            }
            Ok(Item::Flush(done)) => Some(done),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if !batch.is_empty() {
            // The batch is dropped if the exporter can't finish at once: waiting for
            // it would delay the spans that follow.
            let written = exporter.export(std::mem::take(&mut batch)).now_or_never();
            if !matches!(written, Some(Ok(()))) {
                SpanQueue::drop_counter().increment(1);
            }
        }
        if let Some(done) = flushed {
            // The receiver may have timed out.
            let _ = done.send(());
        }
    }
}
