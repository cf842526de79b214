//! Answers with a malformed head, or a body whose end can't be told.

mod site;

use std::sync::Arc;
use std::time::Duration;

use site::raw::{HEALTHY, RawEndpoint, ReceivedRequest, Reply, header};
use site::{Host, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The route's timeout, half a second after which each request must have an end.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// How long a request that is rejected as not run is sent again, and after which pause.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The whole body of each answer.
const BODY: &str = "whole";

/// The fields with which an endpoint identifies an answer.
const IDENTITY: &str = "Attempt-Id: ID\r\nServer-Signature: s\r\n";

/// What an endpoint does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Keep,
    Close,
    Reset,
}

/// Maximum number of cases played at the same time; a host accepts a limited number of callers.
const MAX_CASES: usize = 200;

const ENDINGS: [Ending; 3] = [Ending::Keep, Ending::Close, Ending::Reset];

/// One endpoint of a service of its own.
#[derive(Clone, Debug)]
struct Case {
    /// The bytes of its answers; `ID` stands for the request's `Attempt-Id`.
    answer: String,
    ending: Ending,
    method: &'static str,
}

/// Returns a status line, fields and a body as one answer.
fn answer(status_line: &str, fields: &str, body: &str) -> String {
    format!("{status_line}\r\n{IDENTITY}{fields}\r\n\r\n{body}")
}

/// Returns an answer with these fields.
fn with_fields(fields: &str) -> String {
    answer("HTTP/1.1 200 OK", fields, BODY)
}

/// Returns an answer in one chunk with these fields.
fn chunked(fields: &str) -> String {
    answer("HTTP/1.1 200 OK", fields, "5\r\nwhole\r\n0\r\n\r\n")
}

/// Returns a configuration with a service and two routes for each case.
fn config(count: usize) -> String {
    let routes: Vec<String> = (0..count)
        .flat_map(|n| [("r", "safe", 2, n), ("w", "unsafe", 1, n)])
        .map(|(name, kind, attempts, n)| {
            format!(
                r#"["{name}{n}","a.example","/{name}{n}/","{kind}",2.0,0.5,2,null,{attempts},"svc{n}"]"#
            )
        })
        .collect();
    let services: Vec<String> = (0..count)
        .map(|n| format!(r#"["svc{n}","/health",220,"h1",false,3.0,6.0]"#))
        .collect();
    let services = services.join(",");
    let service = r#"["svc","/health",220,"h1",false,3.0,6.0]"#;
    site::config(1, &routes.join(",")).replace(service, &services)
}

/// A host and one endpoint for each case.
struct Site {
    _store: Store,
    endpoints: Vec<RawEndpoint>,
    host: Host,
}

/// Starts an endpoint for each case; its answers to requests with the ID `valid-` are valid.
async fn start(cases: &[Case]) -> Site {
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&config(cases.len())));
    let mut endpoints = Vec::new();
    for (n, case) in cases.iter().enumerate() {
        let case = case.clone();
        let instance = format!("i-{n}");
        let healthy = HEALTHY.replace("i-raw", &instance);
        let script = move |received: &ReceivedRequest| match received.is_probe() {
            true => Reply::Keep(healthy.clone()),
            false => reply(&case, received),
        };
        let endpoint = RawEndpoint::start_unhealthy(script).await;
        endpoint.register_as(&instance, &store, &format!("svc{n}"));
        endpoints.push(endpoint);
    }
    let host = Host::ready("entry", &store).await;
    Site {
        _store: store,
        endpoints,
        host,
    }
}

fn reply(case: &Case, received: &ReceivedRequest) -> Reply {
    let id = received.id();
    if id.starts_with("valid") {
        let body = if case.method == "HEAD" { "" } else { BODY };
        let valid = answer("HTTP/1.1 200 OK", "Content-Length: 5", body);
        return Reply::Keep(valid.replace("ID", id));
    }
    let bytes = case.answer.replace("ID", id);
    match case.ending {
        Ending::Keep => Reply::Keep(bytes),
        Ending::Close => Reply::Close(bytes),
        Ending::Reset => Reply::Reset(bytes),
    }
}

/// An answer of a host, checked for validity.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    status: u16,
    is_signed: bool,
    body: String,
}

/// Sends a request, again if it is rejected as not run, as callers do; returns the answer, or why
/// there is no valid one.
async fn request(host: &Host, method: &str, path: &str, id: &str) -> Result<Answer, String> {
    let end = Instant::now() + RETRY_TIMEOUT;
    loop {
        let result = request_once(host, method, path, id).await;
        let is_rejected = result.as_ref().is_ok_and(|a| a.status == 503);
        if !is_rejected || Instant::now() > end {
            return result;
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn request_once(host: &Host, method: &str, path: &str, id: &str) -> Result<Answer, String> {
    let mut stream = TcpStream::connect(host.callers)
        .await
        .expect("the host accepts");
    let (method, condition) = match method.strip_prefix("CONDITIONAL ") {
        Some(method) => (method, "If-None-Match: \"a\"\r\n"),
        None => (method, ""),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nTime-Remaining: 8000\r\nConnection: close\r\n{condition}Content-Length: 0\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the host reads");
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT + TIMEOUT_SLACK, stream.read_to_end(&mut bytes)).await;
    let read = read.map_err(|_| "no end half a second after the timeout".to_owned())?;
    read.map_err(|e| format!("{e} after {:?}", String::from_utf8_lossy(&bytes)))?;
    parse(method, id, &bytes)
}

/// Parses an answer that must be valid, and belong to this request.
fn parse(method: &str, id: &str, bytes: &[u8]) -> Result<Answer, String> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let invalid = |why: &str| Err(format!("{why}: {text:?}"));
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return invalid("the connection ended without a head");
    };
    let mut lines = head.split("\r\n");
    let status_line = lines.next().unwrap_or_default();
    let status = status_line
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3))
        .and_then(|code| code.parse::<u16>().ok());
    let Some(status @ 200..=599) = status else {
        return invalid("the status line is invalid");
    };
    for line in lines.clone() {
        let is_token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
        let is_text = |c: char| c == '\t' || !c.is_control();
        match line.split_once(':') {
            Some((name, value))
                if !name.is_empty() && name.chars().all(is_token) && value.chars().all(is_text) => {
            }
            _ => return invalid("a line is no field"),
        }
    }
    let values = |name: &str| -> Vec<&str> {
        let fields = lines.clone().filter_map(|line| line.split_once(':'));
        fields
            .filter(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
            .collect()
    };
    if values("attempt-id") != [id] {
        return invalid("the answer names another request");
    }
    let has_no_body = method == "HEAD" || matches!(status, 204 | 304);
    let body = match (
        values("content-length").as_slice(),
        values("transfer-encoding").as_slice(),
    ) {
        ([_, ..], _) if status == 204 => return invalid("an answer without a body has a length"),
        (_, _) if has_no_body && body.is_empty() => String::new(),
        (_, _) if has_no_body => return invalid("bytes follow an answer without a body"),
        ([length], []) if length.parse() == Ok(body.len()) => body.to_owned(),
        ([], ["chunked"]) => match unchunk(body) {
            Some(body) => body,
            None => return invalid("the chunks are incomplete"),
        },
        _ => return invalid("the length is wrong"),
    };
    Ok(Answer {
        status,
        is_signed: header(head, "server-signature").is_some(),
        body,
    })
}

/// Decodes a chunked body; returns nothing if it is incomplete or bytes follow it.
fn unchunk(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, behind) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        body.push_str(behind.get(..size)?);
        rest = behind.get(size..)?.strip_prefix("\r\n")?;
        if size == 0 {
            return rest.is_empty().then_some(body);
        }
    }
}

/// Plays all combinations, each on a new and on a kept connection, and returns those that didn't
/// reach the endpoint, or whose answer is unexpected.
async fn failures(
    answers: &[String],
    methods: &[&'static str],
    endings: &[Ending],
    is_expected: impl Fn(&Answer) -> bool,
) -> Vec<String> {
    let mut cases = Vec::new();
    for answer in answers {
        for method in methods {
            for ending in endings {
                cases.push(Case {
                    answer: answer.clone(),
                    ending: *ending,
                    method,
                });
            }
        }
    }
    let mut failures = Vec::new();
    for is_kept in [false, true] {
        for cases in cases.chunks(MAX_CASES) {
            failures.extend(play(cases, is_kept, &is_expected).await);
        }
    }
    failures
}

/// Plays cases at the same time, after a valid answer each if `is_kept`.
async fn play(cases: &[Case], is_kept: bool, is_expected: impl Fn(&Answer) -> bool) -> Vec<String> {
    let site = Arc::new(start(cases).await);
    let mut tasks = Vec::new();
    let mut failures = Vec::new();
    for (n, case) in cases.iter().enumerate() {
        let site = Arc::clone(&site);
        let method = case.method;
        tasks.push(tokio::spawn(async move {
            let path = match method {
                "POST" => format!("/w{n}/x"),
                _ => format!("/r{n}/x"),
            };
            if is_kept {
                let valid = request(&site.host, method, &path, &format!("valid-{n}")).await;
                assert_eq!(valid.map(|a| a.status), Ok(200));
            }
            let result = request(&site.host, method, &path, &format!("q-{n}")).await;
            let received = site.endpoints[n].received();
            let count = received.iter().filter(|r| r.id().starts_with('q')).count();
            let is_reused = received.len() > 1 && received[0].connection == received[1].connection;
            (result, count, is_reused)
        }));
    }
    let mut reused = 0;
    for (case, task) in cases.iter().zip(tasks) {
        let (result, count, is_reused) = task.await.expect("the request ends");
        reused += usize::from(is_reused);
        let is_reached = count > 0 && (case.method != "POST" || count == 1);
        match result {
            Ok(answer) if is_reached && is_expected(&answer) => {}
            result => failures.push(format!(
                "{case:?}, kept {is_kept}, reached {count} times: {result:?}"
            )),
        }
    }
    assert!(!is_kept || reused * 2 > cases.len(), "{reused} kept");
    failures
}

fn assert_none(failures: &[String]) {
    let count = failures.len();
    assert!(count == 0, "{count} failures:\n{}", failures.join("\n"));
}

/// Asserts that no caller gets the answers of an endpoint, whatever follows them.
async fn assert_rejected(answers: &[String]) {
    let is_own = |answer: &Answer| !answer.is_signed && matches!(answer.status, 502 | 504);
    let failures = failures(answers, &["GET", "POST"], &ENDINGS, is_own).await;
    assert_none(&failures);
}

/// Asserts that callers get the answers of an endpoint as valid ones.
async fn assert_forwarded(answers: &[String], endings: &[Ending]) {
    let whole = Answer {
        status: 200,
        is_signed: true,
        body: BODY.to_owned(),
    };
    let failures = failures(answers, &["GET", "POST"], endings, |a| *a == whole).await;
    assert_none(&failures);
}

/// A `Content-Length` that is no single number must not be taken for one, nor be ignored.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_length() {
    let values = [
        "",
        "x",
        "5x",
        "x5",
        "-5",
        "+5",
        "5.0",
        "0x5",
        "5;",
        "5 5",
        "5 ,5",
        "5,6",
        "5, 6",
        "6, 5",
        "5,",
        ",5",
        "\"5\"",
        "5e0",
        "99999999999999999999999",
        "18446744073709551616",
        "18446744073709551615",
        "5\t5",
        "٥",
    ];
    let mut answers: Vec<String> = values
        .iter()
        .map(|value| with_fields(&format!("Content-Length: {value}")))
        .collect();
    for fields in [
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 6\r\nContent-Length: 5",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: x",
        "Content-Length: x\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length:",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5, 5",
    ] {
        answers.push(with_fields(fields));
    }
    assert_rejected(&answers).await;
}

/// An answer whose length is lost must not end with its connection if it says that the connection
/// stays open, or if the field can still be recognized.
#[tokio::test(flavor = "multi_thread")]
async fn lost_length() {
    let mut answers = Vec::new();
    for kept in [
        "Keep-Alive: timeout=5",
        "Connection: keep-alive",
        "Connection: Keep-Alive\r\nKeep-Alive: timeout=5, max=100",
    ] {
        answers.push(with_fields(kept));
        answers.push(with_fields(&format!("Content-Lengt: 5\r\n{kept}")));
        answers.push(chunked(&format!("Transfer-Encodinh: chunked\r\n{kept}")));
        answers.push(chunked(&format!("{kept}\r\nransfer-Encoding: chunked")));
        answers.push(answer("HTTP/1.0 200 OK", kept, BODY));
    }
    for coding in [
        "Transfer-Encodinh: chunked",
        "Transfer_Encoding: chunked",
        "ransfer-Encoding: chunked",
        "TTransfer-Encoding: chunked",
        "Transfer:Encoding: chunked",
        "Transfer-Encodinh: chunked\r\nConnection: close",
    ] {
        answers.push(chunked(coding));
    }
    assert_rejected(&answers).await;
}

/// A `Transfer-Encoding` other than `chunked` must not be ignored.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_encoding() {
    let values = [
        "",
        "x",
        "chunke",
        "hunked",
        "chunkedd",
        "chunked x",
        "chunked;q=1",
        "\"chunked\"",
        "chunked, chunked",
        "chunked,",
        ",chunked",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "identity",
        "chunked, identity",
        "identity, chunked",
    ];
    let mut answers: Vec<String> = values
        .iter()
        .map(|value| chunked(&format!("Transfer-Encoding: {value}")))
        .collect();
    for fields in [
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding:",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 15\r\nTransfer-Encoding: chunked",
        "Content-Length: x\r\nTransfer-Encoding: chunked",
        "Content-Length: 15\r\nTransfer-Encoding: chunke",
    ] {
        answers.push(chunked(fields));
    }
    answers.push(answer(
        "HTTP/1.0 200 OK",
        "Transfer-Encoding: chunked",
        "5\r\nwhole\r\n0\r\n\r\n",
    ));
    answers.push(answer(
        "HTTP/1.0 200 OK",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        BODY,
    ));
    assert_rejected(&answers).await;
}

/// A line that is no field must not be passed over or passed on.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_lines() {
    let lines = [
        "no field",
        "nofield",
        ":",
        ": x",
        "=",
        "X A: b",
        "X : b",
        "X\t: b",
        " X: b",
        "\tX: b",
        "X\u{1}A: b",
        "X\u{0}: b",
        "\u{0}X: b",
        "X\u{7f}: b",
        "X\u{e9}: b",
        "(X): b",
        "X@: b",
        "X\u{b}: b",
        "X: a\u{0}b",
        "X: a\u{1}b",
        "X: a\u{7f}b",
        "X: a\u{b}b",
        "X: a\u{1b}b",
        "X: a\rb",
        "X: a\r",
        "X: a\n b",
        "X: a\r\n b",
        "X: a\r\n\tb: c",
        "X: a\nY: b",
        "X: a\r\r\nY: b",
        "HTTP/1.1 200 OK",
        "\"X\": b",
        "X;: b",
        "{}",
    ];
    let mut answers = Vec::new();
    for line in lines {
        answers.push(with_fields(&format!("Content-Length: 5\r\n{line}")));
        answers.push(with_fields(&format!("{line}\r\nContent-Length: 5")));
    }
    for fields in [
        "Content-Length : 5",
        "Content-Length\t: 5",
        "Content Length: 5",
        " Content-Length: 5",
        "\tContent-Length: 5",
        "Content-Length 5",
        "Content-Length; 5",
        "Content-Length=5",
        "Content-\u{1}Length: 5",
        "Content-Length\u{0}: 5",
        "\u{0}Content-Length: 5",
        "Content-Length: 5\u{0}",
        "Content-Length: \u{1}5",
        "Content-Length:\r\n 5",
        "Content-Length: 5\r\n 5",
        "Content-Length: 5\n",
        "X: a\n\nContent-Length: 5",
        "X: a\n\r\nContent-Length: 5",
        "X: a\r\n\nContent-Length: 5",
    ] {
        answers.push(with_fields(fields));
    }
    for fields in [
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\t: chunked",
        "Transfer Encoding: chunked",
        " Transfer-Encoding: chunked",
        "Transfer-Encoding chunked",
        "Transfer-\u{1}Encoding: chunked",
        "Transfer-Encoding\u{0}: chunked",
        "Transfer-Encoding: chunked\u{0}",
        "Transfer-Encoding: chunked\u{b}",
        "Transfer-Encoding:\r\n chunked",
        "Transfer-Encoding: x\r\n, chunked",
    ] {
        answers.push(chunked(fields));
    }
    for status_line in [
        "HTTP/1.1 200 OK\nX: a",
        "\r\nHTTP/1.1 200 OK",
        "\nHTTP/1.1 200 OK",
        "HTTP/1.1 103 Early Hints\nX: a\r\n\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 103 Early Hints\r\n\nHTTP/1.1 200 OK",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nX: a",
    ] {
        answers.push(answer(status_line, "Content-Length: 5", BODY));
    }
    assert_rejected(&answers).await;
}

/// An answer without a valid final status is no answer.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_status() {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 101 OK",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 700 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 1000 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2 OK",
        "HTTP/1.1  OK",
        "HTTP/1.1 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\u{0}K",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\u{7f}K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.1 200 OK\r",
        "HTTP/1.1 200 OK\n",
        "HTTP/1.1",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/2 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/11 200 OK",
        "HTTP/1. 200 OK",
        "HTTP/1 200 OK",
        "HTTP/1.1.1 200 OK",
        "http/1.1 200 OK",
        "HTTPS/1.1 200 OK",
        "XHTTP/1.1 200 OK",
        "ICY 200 OK",
        " HTTP/1.1 200 OK",
        "HTTP /1.1 200 OK",
        "200 OK",
        "",
        "\u{0}HTTP/1.1 200 OK",
    ];
    let answers: Vec<String> = lines
        .iter()
        .map(|line| answer(line, "Content-Length: 5", BODY))
        .collect();
    assert_rejected(&answers).await;
}

/// An answer whose status has no body must not announce one, nor come unasked.
#[tokio::test(flavor = "multi_thread")]
async fn contradicted_status() {
    let answers = [
        answer("HTTP/1.1 204 No Content", "Content-Length: 5", BODY),
        answer("HTTP/1.1 204 No Content", "Content-Length: 5", ""),
        answer(
            "HTTP/1.1 204 No Content",
            "Transfer-Encoding: chunked",
            "0\r\n\r\n",
        ),
        answer("HTTP/1.1 204 No Content", "Content-Length: x", ""),
        // No request of the test is conditional.
        answer("HTTP/1.1 304 Not Modified", "Content-Length: 5", BODY),
        answer("HTTP/1.1 304 Not Modified", "X: a", ""),
    ];
    assert_rejected(&answers).await;
}

/// Answers without a body must be passed on with a valid head.
#[tokio::test(flavor = "multi_thread")]
async fn bodyless_answers() {
    let empty = |status| move |a: &Answer| a.status == status && a.is_signed && a.body.is_empty();
    let no_content = [
        answer("HTTP/1.1 204 No Content", "X: a", ""),
        answer("HTTP/1.1 204 No Content", "Keep-Alive: timeout=5", ""),
        answer("HTTP/1.1 204 No Content", "Content-Length: 0", ""),
    ];
    let found = failures(
        &no_content,
        &["GET", "POST", "HEAD"],
        &ENDINGS[..2],
        empty(204),
    )
    .await;
    assert_none(&found);
    let head_only = [
        answer("HTTP/1.1 200 OK", "Content-Length: 5", ""),
        answer("HTTP/1.1 200 OK", "Content-Length: 0", ""),
        answer("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", ""),
        answer("HTTP/1.1 200 OK", "X: a", ""),
        answer("HTTP/1.1 200 OK", "Keep-Alive: timeout=5", ""),
    ];
    let found = failures(&head_only, &["HEAD"], &ENDINGS[..2], empty(200)).await;
    assert_none(&found);
    let not_modified = [
        answer("HTTP/1.1 304 Not Modified", "Content-Length: 5", ""),
        answer("HTTP/1.1 304 Not Modified", "X: a", ""),
    ];
    let found = failures(
        &not_modified,
        &["CONDITIONAL GET"],
        &ENDINGS[..2],
        empty(304),
    )
    .await;
    assert_none(&found);
}

/// Chunks that are malformed must not be taken for a body.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_chunks() {
    let bodies = [
        "x\r\nwhole\r\n0\r\n\r\n",
        "\r\nwhole\r\n0\r\n\r\n",
        "-5\r\nwhole\r\n0\r\n\r\n",
        "+5\r\nwhole\r\n0\r\n\r\n",
        "0x5\r\nwhole\r\n0\r\n\r\n",
        "5x\r\nwhole\r\n0\r\n\r\n",
        "5\nwhole\r\n0\r\n\r\n",
        "5\r\nwhole\n0\r\n\r\n",
        "5\r\nwhole0\r\n\r\n",
        "5\r\nwhole\r\n0\n\r\n",
        "5\r\nwhole\r\n0\r\n\n",
        "5\r\nwhole!\r\n0\r\n\r\n",
        "4\r\nwhole\r\n0\r\n\r\n",
        "6\r\nwhole\r\n0\r\n\r\n",
        "5 5\r\nwhole\r\n0\r\n\r\n",
        "5;a\nb\r\nwhole\r\n0\r\n\r\n",
        "5\rwhole\r\n0\r\n\r\n",
        " 5\r\nwhole\r\n0\r\n\r\n",
        "FFFFFFFFFFFFFFFFF\r\nwhole\r\n0\r\n\r\n",
        "FFFFFFFFFFFFFFFF\r\nwhole\r\n0\r\n\r\n",
        "5\r\nwhole\r\n\r\n0\r\n\r\n",
        "5\r\nwhole\r\n",
        "5\r\nwhole\r\n0\r\n",
        "5\r\nwhole\r\n0\r\nX: a\r\n",
        "5\r\nwhole\r\n0\r\nno field\r\n\r\n",
        "5\r\nwhole\r\n0\r\nX : a\r\n\r\n",
        "5\r\nwhole\r\n0\r\nX\u{0}: a\r\n\r\n",
        "5\r\nwhole\r\n0\r\n: a\r\n\r\n",
        "5\r\nwhole\r\n0\r\nX: a\u{0}\r\n\r\n",
        "5\r\nwhole\r\n0\r\nX: a\nY: b\r\n\r\n",
        "5\r\nwhole\r\n0\r\nX: a\r\n b\r\n\r\n",
    ];
    let answers: Vec<String> = bodies
        .iter()
        .map(|body| answer("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", body))
        .collect();
    assert_rejected(&answers).await;
}

/// The fields that identify an answer must say the same on each line, and be passed on.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_identity() {
    let heads = [
        "Attempt-Id: ID\r\nAttempt-Id: other\r\nServer-Signature: s",
        "Attempt-Id: other\r\nAttempt-Id: ID\r\nServer-Signature: s",
        "Attempt-Id: ID, other\r\nServer-Signature: s",
        "Attempt-Id: ID\r\nAttempt-Id: ID\r\nServer-Signature: s",
        "Attempt-Id: ID\r\nServer-Signature: s\r\nServer-Signature: s",
        "Attempt-Id: ID\r\nServer-Signature: s\r\nServer-Signature: t",
        "Attempt-Id: ID\r\nServer-Signature:",
        "Attempt-Id: ID\r\nServer-Signature: s\r\nConnection: server-signature",
        "Attempt-Id: ID\r\nServer-Signature: s\r\nConnection: close, Server-Signature",
        "Attempt-Id: ID\r\nServer-Signature: s\r\nConnection: attempt-id",
        "Attempt-Id\u{1}: ID\r\nServer-Signature: s",
        "Attempt-Id: ID\r\nServer Signature: s",
    ];
    let answers: Vec<String> = heads
        .iter()
        .map(|head| format!("HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: 5\r\n\r\n{BODY}"))
        .collect();
    assert_rejected(&answers).await;
}

/// Valid answers must be passed on, however unusual they are.
#[tokio::test(flavor = "multi_thread")]
async fn unusual_answers() {
    let answers = [
        with_fields("Content-Length: 5"),
        with_fields("Content-Length:5"),
        with_fields("content-length: 5  "),
        with_fields("Content-Length:\t5"),
        with_fields("Content-Length: 005"),
        with_fields("X:\r\nContent-Length: 5"),
        with_fields("X: a\tb\u{e9}\r\nContent-Length: 5"),
        with_fields("!#$%&'*+-.^_`|~: a\r\nContent-Length: 5"),
        with_fields("Connection: content-length\r\nContent-Length: 5"),
        with_fields("Connection: x-a\r\nX-A: 1\r\nContent-Length: 5"),
        chunked("Transfer-Encoding: chunked"),
        chunked("transfer-encoding: Chunked"),
        chunked("Transfer-Encoding:chunked  "),
        answer("HTTP/1.1 200 ", "Content-Length: 5", BODY),
        answer("HTTP/1.1 200", "Content-Length: 5", BODY),
        answer("HTTP/1.0 200 OK", "Content-Length: 5", BODY),
        answer("HTTP/1.1 200 All is well", "Content-Length: 5", BODY),
        answer(
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked",
            "2;a=b\r\nwh\r\n03\r\nole\r\n0\r\nX: a\r\n\r\n",
        ),
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned() + &with_fields("Content-Length: 5"),
        "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n".to_owned() + &with_fields("Content-Length: 5"),
    ];
    assert_forwarded(&answers, &[Ending::Keep, Ending::Close]).await;
    // Without a length, the end of the connection is the end of the body.
    let unframed = [
        with_fields("X: a"),
        with_fields("Connection: close"),
        with_fields("Content-Language: en\r\nX-Content-Length: 7"),
        with_fields("Connection: close\r\nKeep-Alive: timeout=5"),
        answer("HTTP/1.0 200 OK", "X: a", BODY),
    ];
    assert_forwarded(&unframed, &[Ending::Close]).await;
}

/// No single byte of a head that is changed, dropped or doubled may give a caller another body.
#[tokio::test(flavor = "multi_thread")]
async fn single_byte_faults() {
    let framed = [
        ("Keep-Alive: timeout=5\r\nContent-Length: 5", BODY),
        (
            "Connection: close\r\nTransfer-Encoding: chunked\r\nX: a",
            "5\r\nwhole\r\n0\r\n\r\n",
        ),
    ];
    let mut answers = Vec::new();
    for (fields, body) in &framed {
        let head = answer("HTTP/1.1 200 OK", fields, "");
        for at in 0..head.len() {
            let (before, rest) = head.split_at(at);
            let (byte, behind) = rest.split_at(1);
            for other in ["", "\n", "\r", " ", ":", "x"] {
                answers.push(format!("{before}{other}{behind}{body}"));
            }
            // A byte behind the end of the head is one of the body.
            if !behind.is_empty() {
                answers.push(format!("{before}{byte}{byte}{behind}{body}"));
            }
        }
    }
    let is_allowed = |answer: &Answer| match answer.is_signed {
        true => answer.status == 200 && answer.body == BODY,
        false => matches!(answer.status, 502 | 504),
    };
    let failures = failures(&answers, &["POST"], &[Ending::Close], is_allowed).await;
    assert_none(&failures);
}
