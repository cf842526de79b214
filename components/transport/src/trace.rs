//! Traces of calls: a span for each hop, under the caller's `traceparent`.
//!
//! Spans are made and written by the OpenTelemetry library. The call's path
//! only puts a finished span into a bounded queue; when that is full the span
//! is dropped and counted.

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

/// The header field that names the trace (W3C Trace Context).
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Finished spans that may wait to be written.
const QUEUE_LIMIT: usize = 4_096;

/// Spans written at once.
const BATCH_LIMIT: usize = 512;

/// How long a finished span waits for others.
const BATCH_TIME: Duration = Duration::from_millis(500);

/// Decides which calls are traced, and makes their spans.
pub struct Tracing {
    every: u64,
    count: AtomicU64,
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

/// One call's trace, where it has one.
pub struct CallTrace {
    tracer: Option<SdkTracer>,
    root: Hop,
}

/// One span of a call's trace, which ends when it is dropped.
pub struct Hop(Option<Context>);

impl Tracing {
    /// Returns tracing that traces nothing.
    pub fn disabled() -> Tracing {
        Tracing {
            every: 0,
            count: AtomicU64::new(0),
            provider: None,
            tracer: None,
        }
    }

    /// Traces one call in `every`, none where 0, and writes the spans by `exporter`.
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
            .with_span_processor(Queue::start(exporter))
            .build();
        Tracing {
            every,
            count: AtomicU64::new(0),
            tracer: Some(provider.tracer("cardamomvale")),
            provider: Some(provider),
        }
    }

    /// Begins the trace of a call with these header fields, if it is one to be traced.
    ///
    /// A caller that asks not to be sampled is not. One that asks for it still
    /// gets its share only: callers must not decide what tracing costs here.
    pub fn begin(&self, fields: &HeaderMap) -> CallTrace {
        let parent = fields.get(TRACEPARENT).and_then(parse);
        let declined = parent.as_ref().is_some_and(|p| !p.is_sampled());
        match &self.tracer {
            Some(tracer) if !declined && self.is_due() => {
                let context = match parent {
                    Some(parent) => Context::new().with_remote_span_context(parent),
                    None => Context::new(),
                };
                let root = hop(tracer, "call", SpanKind::Server, &context);
                CallTrace {
                    tracer: Some(tracer.clone()),
                    root,
                }
            }
            _ => CallTrace {
                tracer: None,
                root: Hop(None),
            },
        }
    }

    /// Writes what still waits.
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
    pub fn inner(&self, name: &'static str) -> Hop {
        self.child(name, SpanKind::Internal)
    }

    /// Begins a span for the call to a backend server, and passes the trace on to it.
    ///
    /// Without a span of ours the caller's own field travels on unchanged.
    pub fn onward(&self, name: &'static str, fields: &mut HeaderMap) -> Hop {
        let hop = self.child(name, SpanKind::Client);
        match hop.header() {
            Some(value) => drop(fields.insert(TRACEPARENT, value)),
            None if fields.get(TRACEPARENT).is_some_and(|v| parse(v).is_none()) => {
                fields.remove(TRACEPARENT);
            }
            None => {}
        }
        hop
    }

    /// Returns whether this call is traced, so that a note is worth making.
    pub fn is_on(&self) -> bool {
        self.tracer.is_some()
    }

    /// Notes something about the whole call.
    pub fn note(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        self.root.note(key, value);
    }

    fn child(&self, name: &'static str, kind: SpanKind) -> Hop {
        match (&self.tracer, &self.root.0) {
            (Some(tracer), Some(context)) => hop(tracer, name, kind, context),
            _ => Hop(None),
        }
    }
}

impl Hop {
    /// Notes something about this hop.
    pub fn note(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
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

fn hop(tracer: &SdkTracer, name: &'static str, kind: SpanKind, parent: &Context) -> Hop {
    let builder = SpanBuilder::from_name(name).with_kind(kind);
    let span = tracer.build_with_context(builder, parent);
    Hop(Some(parent.with_span(span)))
}

/// Reads a `traceparent` field, nothing where it is malformed.
fn parse(value: &HeaderValue) -> Option<SpanContext> {
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

/// Finished spans on their way to a thread that writes them.
#[derive(Debug)]
struct Queue {
    sender: SyncSender<Item>,
}

enum Item {
    Span(Box<SpanData>),
    Flush(SyncSender<()>),
}

impl Queue {
    fn start(exporter: impl SpanExporter + 'static) -> Queue {
        let (sender, receiver) = sync_channel(QUEUE_LIMIT);
        thread::spawn(move || write(&receiver, &exporter));
        Queue { sender }
    }

    fn dropped() -> Counter {
        counter!("cardamomvale_spans_dropped_total")
    }
}

impl SpanProcessor for Queue {
    fn on_start(&self, _span: &mut Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        if self.sender.try_send(Item::Span(Box::new(span))).is_err() {
            Queue::dropped().increment(1);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        let (done, wait) = sync_channel(1);
        let sent = self.sender.try_send(Item::Flush(done));
        match sent.map(|()| wait.recv_timeout(BATCH_TIME * 4)) {
            Ok(Ok(())) => Ok(()),
            _ => Err(OTelSdkError::Timeout(BATCH_TIME * 4)),
        }
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        self.force_flush()
    }
}

/// Writes spans in batches until nobody makes any more.
fn write(receiver: &Receiver<Item>, exporter: &impl SpanExporter) {
    let mut batch = Vec::new();
    loop {
        let flushed = match receiver.recv_timeout(BATCH_TIME) {
            Ok(Item::Span(span)) => {
                batch.push(*span);
                if batch.len() < BATCH_LIMIT {
                    continue;
                }
                None
            }
            Ok(Item::Flush(done)) => Some(done),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if !batch.is_empty() {
            // An exporter that has to wait would hold up the rest: its batch is given up.
            let written = exporter.export(std::mem::take(&mut batch)).now_or_never();
            if !matches!(written, Some(Ok(()))) {
                Queue::dropped().increment(1);
            }
        }
        if let Some(done) = flushed {
            // Whoever asked may have given up waiting.
            let _ = done.send(());
        }
    }
}
