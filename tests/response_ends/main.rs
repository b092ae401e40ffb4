//! Responses of upstreams that end at every byte, with each kind of framing.

mod behind;
mod front;
#[path = "../../platform/standin/raw.rs"]
#[allow(unreachable_pub)]
mod raw;

use front::{Front, Received};
use raw::{Closes, Ending, RawUpstream, Script, refusal};
use spindle_relay::RepeatPolicy;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// A response of an upstream, of which only a part is sent.
#[derive(Clone, Debug)]
struct Case {
    version: &'static str,
    framing: Framing,
    /// The events of a stream, or the parts of another body.
    parts: Vec<&'static str>,
    /// How many bytes of the encoded body are sent.
    sent: usize,
    ending: Ending,
}

impl Case {
    fn content(&self) -> String {
        self.parts.concat()
    }

    /// The body as it is encoded on the connection.
    fn encoded(&self) -> Vec<u8> {
        if self.framing != Framing::Chunked {
            return self.content().into_bytes();
        }
        let chunk = |part: &&str| format!("{:x}\r\n{part}\r\n", part.len());
        let chunks: String = self.parts.iter().map(chunk).collect();
        format!("{chunks}0\r\n\r\n").into_bytes()
    }

    fn script(&self) -> Script {
        let framing = match self.framing {
            Framing::Length => format!("content-length: {}\r\n", self.content().len()),
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Close => String::new(),
        };
        let (body, ending) = (self.encoded()[..self.sent].to_vec(), self.ending.clone());
        Script { head: head(self.version, &framing), body, ending }
    }

    /// Whether the upstream sent a complete stream, as far as that can be told.
    fn is_complete_stream(&self) -> bool {
        if self.framing != Framing::Close {
            return self.sent == self.encoded().len();
        }
        let mut ends = self.parts.iter().scan(0, |end, part| {
            *end += part.len();
            Some(*end)
        });
        self.ending == Ending::Fin && ends.any(|end| end == self.sent)
    }

    /// All cases with the given parts of a body.
    fn all(parts: &[&'static str]) -> Vec<Self> {
        let mut cases = Vec::new();
        for (version, framing) in [
            ("1.1", Framing::Length),
            ("1.1", Framing::Chunked),
            ("1.1", Framing::Close),
            ("1.0", Framing::Length),
            ("1.0", Framing::Close),
        ] {
            for ending in [Ending::Fin, Ending::Rst] {
                let case = Self { version, framing, parts: parts.to_vec(), sent: 0, ending };
                let length = case.encoded().len();
                cases.extend((0..=length).map(|sent| Self { sent, ..case.clone() }));
            }
        }
        cases
    }
}

/// Number of cut heads that are tried at the same time.
const CUTS_AT_ONCE: usize = 32;

fn head(version: &str, framing: &str) -> String {
    format!(
        "HTTP/{version} 200 OK\r\nx-request-id: {{id}}\r\nx-response-signature: s\r\n{framing}\r\n"
    )
}

/// Streams with each kind of line end, and with both in one stream.
const STREAMS: [[&str; 3]; 3] = [
    ["id: 1\ndata: a\n\n", "id: 2\ndata: bb\n\n", "id: 3\ndata: c\n\n"],
    ["id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: bb\r\n\r\n", "id: 3\r\ndata: c\r\n\r\n"],
    ["id: 1\ndata: a\n\r\n", "id: 2\r\ndata: bb\r\n\n", "id: 3\r\ndata: c\n\n"],
];

fn streams() -> impl Iterator<Item = Case> {
    STREAMS.iter().flat_map(|events| Case::all(events))
}

/// Lets an upstream cut off a stream that can't be resumed, and checks what callers receive.
async fn check_cut_stream(caller_version: &str, case: Case) {
    let script = case.script();
    let upstream = RawUpstream::start(move |_, _| script.clone()).await;
    let front = Front::start(&upstream, 2).await;
    let received = front.ask(caller_version, RepeatPolicy::StreamOnce, "r-1").await;
    assert_eq!(received.complete, case.is_complete_stream(), "{case:?} {received:?}");
    let content = case.content();
    assert!(content.as_bytes().starts_with(&received.body), "{case:?} {received:?}");
    if received.complete && case.framing != Framing::Close {
        assert_eq!(received.body, content.as_bytes(), "{case:?}");
    }
    assert_eq!(upstream.requests().len(), 1, "{case:?}");
}

/// Lets an upstream cut off a resumable stream, and checks that the caller receives all events once.
/// Where only the end is missing, one answer without events may be a faulty one: the stream is complete
/// only if another attempt is allowed, which says the same.
async fn check_resumed_stream(case: &Case, attempts: u32) {
    let broken = case.clone();
    let upstream = RawUpstream::start(move |earlier, request| {
        if earlier == 0 {
            return broken.script();
        }
        let after = request.last_event_id.as_ref().map_or(0, |id| id.parse().unwrap());
        let rest = broken.parts[after..].concat();
        Script { head: head("1.1", ""), body: rest.into_bytes(), ending: Ending::Fin }
    })
    .await;
    let front = Front::start_with_attempts(&upstream, 3, attempts).await;
    let received = front.ask("1.1", RepeatPolicy::Resumable, "r-1").await;
    let is_complete = case.is_complete_stream();
    let sent = String::from_utf8_lossy(&case.encoded()[..case.sent]).into_owned();
    let has_all_events = sent.contains(case.parts.last().unwrap());
    let cut = case.framing == Framing::Close && is_complete;
    let expected = if cut { case.content()[..case.sent].to_owned() } else { case.content() };
    let (sends, complete) = match (is_complete, has_all_events) {
        (true, _) => (1, true),
        (false, false) => (2, true),
        (false, true) => (attempts as usize, attempts > 2),
    };
    let expected = Received { status: 200, body: expected.into_bytes(), complete };
    assert_eq!(received, expected, "{attempts} {case:?}");
    assert_eq!(upstream.requests().len(), sends, "{attempts} {case:?}");
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_never_looks_complete() {
    for case in streams().filter(|case| case.sent > 0) {
        check_cut_stream("1.1", case).await;
    }
}

#[tokio::test]
async fn a_resumable_stream_that_ends_inside_an_event_goes_on_after_its_last_whole_one() {
    for case in streams().filter(|case| case.sent > 0) {
        check_resumed_stream(&case, 2).await;
        check_resumed_stream(&case, 3).await;
    }
}

#[tokio::test]
async fn a_stream_that_ends_before_its_first_event_never_looks_complete() {
    for case in streams().filter(|case| case.sent == 0) {
        check_cut_stream("1.1", case.clone()).await;
        check_resumed_stream(&case, 2).await;
        check_resumed_stream(&case, 3).await;
    }
}

#[tokio::test]
async fn a_stream_that_is_cut_off_never_looks_complete_to_a_caller_of_http_1_0() {
    for case in streams() {
        check_cut_stream("1.0", case).await;
    }
}

#[tokio::test]
async fn a_body_that_is_cut_off_is_never_passed_on() {
    for case in Case::all(&["first part, ", "second part"]) {
        let script = case.script();
        let upstream = RawUpstream::start(move |_, _| script.clone()).await;
        let front = Front::start(&upstream, 2).await;
        let complete = match case.framing {
            // The end of the connection is all that marks the end of such a body.
            Framing::Close => case.ending == Ending::Fin,
            Framing::Length | Framing::Chunked => case.sent == case.encoded().len(),
        };
        let received = front.ask("1.1", RepeatPolicy::Once, "r-1").await;
        let passed = if complete { case.content().into_bytes() } else { Vec::new() };
        let cut = case.framing == Framing::Close;
        let expected = if cut && complete { &passed[..case.sent] } else { &passed[..] };
        assert!(received.complete, "{case:?} {received:?}");
        assert_eq!(received.status, if complete { 200 } else { 502 }, "{case:?}");
        assert!(!complete || received.body == expected, "{case:?} {received:?}");
        assert_eq!(upstream.requests().len(), 1, "{case:?}");
    }
}

#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_passed_on_once_and_its_connection_not_reused()
{
    for repeat in [RepeatPolicy::Safe, RepeatPolicy::Once, RepeatPolicy::Resumable] {
        let script = Script {
            head: head("1.1", ""),
            body: STREAMS[0].concat().into_bytes(),
            ending: Ending::Fin,
        };
        let upstream = RawUpstream::start(move |_, _| script.clone()).await;
        let front = Front::start(&upstream, 2).await;
        for request in 0..5 {
            let received = front.ask("1.1", repeat, &format!("r-{request}")).await;
            let body = STREAMS[0].concat().into_bytes();
            assert_eq!(received, Received { status: 200, body, complete: true }, "{repeat}");
        }
        assert_eq!(upstream.requests().len(), 5, "{repeat}");
        assert_eq!(front.pool.open(), 0, "{repeat}");
    }
}

#[tokio::test]
async fn a_stream_that_sends_comments_without_end_is_resumed_after_its_last_event() {
    let upstream = RawUpstream::start(move |earlier, _| {
        let (body, ending) = match earlier {
            0 => (STREAMS[0][0], Ending::Repeat(b": comment\n\n".repeat(100), Duration::ZERO)),
            _ => (STREAMS[0][1], Ending::Fin),
        };
        Script { head: head("1.1", ""), body: body.as_bytes().to_vec(), ending }
    })
    .await;
    let front = Front::start(&upstream, 2).await;
    let received = front.ask("1.1", RepeatPolicy::Resumable, "r-1").await;
    let text = String::from_utf8(received.body).unwrap();
    assert!(received.complete);
    assert_eq!(text.replace(": comment\n\n", ""), STREAMS[0][..2].concat());
    let last_event_id = upstream.requests()[1].last_event_id.clone();
    assert_eq!(last_event_id.as_deref(), Some("1"));
}

/// An upstream stopped in the middle of the head of its response and closed, and callers got a 200 with
/// an empty or short body, framed as whole.
#[tokio::test]
async fn a_response_whose_head_ends_at_any_byte_is_never_passed_on_as_a_success() {
    let plain = head("1.1", "content-length: 0\r\n");
    let heads = [
        plain.clone(),
        head("1.1", "transfer-encoding: chunked\r\n"),
        head("1.1", ""),
        format!("HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n{plain}"),
        plain.replace("x-response", "x-folded: a\r\n b\r\nx-response"),
        plain.replace("\r\n", "\n"),
    ];
    for head in heads {
        for ending in [Ending::Fin, Ending::Rst] {
            for repeat in [RepeatPolicy::Safe, RepeatPolicy::Once, RepeatPolicy::Resumable] {
                check_cut_heads(&head, &ending, repeat).await;
            }
        }
    }
}

/// Asks for responses with each length of a cut head, a few at a time.
async fn check_cut_heads(head: &str, ending: &Ending, repeat: RepeatPolicy) {
    for cut in (0..head.len()).step_by(CUTS_AT_ONCE) {
        let cuts = cut..head.len().min(cut + CUTS_AT_ONCE);
        let checks = cuts.map(|cut| {
            let (head, ending) = (head[..cut].to_owned(), ending.clone());
            async move {
                let script = Script { head, body: Vec::new(), ending };
                let sent = script.clone();
                let upstream = RawUpstream::start(move |_, _| script.clone()).await;
                let front = Front::start(&upstream, 2).await;
                let received = front.ask("1.1", repeat, "r-1").await;
                assert!(received.status >= 500, "{repeat} {sent:?} {received:?}");
                assert!(!upstream.requests().is_empty(), "{repeat} {sent:?}");
            }
        });
        futures_util::future::join_all(checks).await;
    }
}

/// A response to a request that goes on with a stream, after its head line.
fn answer(status: &str, framing: &str, body: &str) -> Script {
    let head = head("1.1", framing).replace("200 OK", status);
    Script { head, body: body.as_bytes().to_vec(), ending: Ending::Fin }
}

/// Lets an upstream break off a stream after its first event; `second` answers the next request, and a
/// sound upstream those after it. Returns what the caller receives and the number of requests.
async fn resumed_after(first: &'static str, second: Script) -> (Received, usize) {
    let upstream = RawUpstream::start(move |earlier, request| {
        let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
        match earlier {
            0 => Script {
                head: head("1.1", "transfer-encoding: chunked\r\n"),
                body: chunk(first).into_bytes(),
                ending: Ending::Rst,
            },
            1 => second.clone(),
            _ => {
                let after = request.last_event_id.as_ref().map_or(0, |id| id.parse().unwrap());
                let rest = STREAMS[0][after..].concat();
                answer("200 OK", &format!("content-length: {}\r\n", rest.len()), &rest)
            }
        }
    })
    .await;
    let front = Front::start_with_attempts(&upstream, 3, 3).await;
    let received = front.ask("1.1", RepeatPolicy::Resumable, "r-1").await;
    (received, upstream.requests().len())
}

fn whole() -> Received {
    Received { status: 200, body: STREAMS[0].concat().into_bytes(), complete: true }
}

/// The next upstream ignored `Last-Event-Id`, and callers got events twice.
#[tokio::test]
async fn a_resumed_stream_that_begins_again_never_repeats_an_event() {
    let begins_again = STREAMS[0].concat();
    let length = format!("content-length: {}\r\n", begins_again.len());
    for framing in [length.as_str(), ""] {
        let second = answer("200 OK", framing, &begins_again);
        assert_eq!(resumed_after(STREAMS[0][0], second).await, (whole(), 3), "{framing}");
    }
}

/// An upstream that leaves by plan takes no more connections while it finishes its streams: that is no
/// sign that it was killed.
#[tokio::test]
async fn a_stream_without_length_of_an_upstream_that_leaves_and_listens_no_longer_is_complete() {
    for repeat in [RepeatPolicy::StreamOnce, RepeatPolicy::Resumable] {
        let upstream = RawUpstream::start(move |_, _| Script {
            head: head("1.1", ""),
            body: STREAMS[0].concat().into_bytes(),
            ending: Ending::Exit(Duration::from_millis(300), Closes::Together),
        })
        .await;
        let front = Front::start(&upstream, 2).await;
        let asking = front.ask("1.1", repeat, "r-1");
        let leaving = async {
            while upstream.requests().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            front.set_leaving();
        };
        let (received, ()) = tokio::join!(asking, leaving);
        assert_eq!(received, whole(), "{repeat}");
        assert_eq!(upstream.requests().len(), 1, "{repeat}");
    }
}

/// The kernel closes the connections of a killed process before its listening socket, so the upstream was
/// found listening and the stream passed for complete.
#[tokio::test]
async fn a_stream_without_length_of_a_killed_upstream_that_listens_a_little_longer_is_not_complete()
{
    let upstream = RawUpstream::start(move |_, _| Script {
        head: head("1.1", ""),
        body: STREAMS[0].concat().into_bytes(),
        ending: Ending::Exit(Duration::from_millis(5), Closes::First),
    })
    .await;
    let front = Front::start(&upstream, 2).await;
    let received = front.ask("1.1", RepeatPolicy::StreamOnce, "r-1").await;
    assert!(!received.complete, "{received:?}");
}

/// A plain response without a length had no check at all.
#[tokio::test]
async fn a_plain_response_without_length_of_a_killed_upstream_is_not_passed_on() {
    for ending in [
        Ending::Exit(Duration::ZERO, Closes::Together),
        Ending::Exit(Duration::from_millis(5), Closes::First),
    ] {
        let script =
            Script { head: head("1.1", ""), body: b"half".to_vec(), ending: ending.clone() };
        let upstream = RawUpstream::start(move |_, _| script.clone()).await;
        let front = Front::start(&upstream, 1).await;
        let received = front.ask("1.1", RepeatPolicy::Once, "r-1").await;
        assert_eq!(received.status, 502, "{ending:?}: {received:?}");
    }
}

/// Where streams can't be resumed, the event that a caller names has no meaning.
#[tokio::test]
async fn a_stream_that_cannot_be_resumed_begins_whatever_event_its_caller_names() {
    let whole_stream = STREAMS[0].concat();
    let upstream = RawUpstream::start(move |_, _| answer("200 OK", "", &whole_stream)).await;
    let front = Front::start(&upstream, 2).await;
    assert_eq!(front.ask_after(2, RepeatPolicy::StreamOnce, "r-1").await, whole());
}

/// The next upstream left an event out, and callers got a stream with a piece missing.
#[tokio::test]
async fn a_resumed_stream_that_leaves_an_event_out_is_not_passed_on() {
    let first = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\n";
    let second = answer("200 OK", "", "id: 4\ndata: d\n\n");
    assert_eq!(resumed_after(first, second).await, (whole(), 3));
}

/// The next upstream answered without any event, and the stream ended as if it were complete.
#[tokio::test]
async fn a_resumed_stream_that_gets_no_event_never_looks_complete() {
    for second in [
        answer("200 OK", "content-length: 0\r\n", ""),
        answer("200 OK", "transfer-encoding: chunked\r\n", "0\r\n\r\n"),
        answer("200 OK", "", ""),
        answer("204 No Content", "", ""),
        answer("206 Partial Content", "content-length: 0\r\n", ""),
        answer("200 OK", "content-type: text/plain\r\ncontent-length: 4\r\n", "done"),
        answer("200 OK", "content-encoding: gzip\r\ncontent-length: 4\r\n", "done"),
    ] {
        let result = resumed_after(STREAMS[0][0], second.clone()).await;
        assert_eq!(result, (whole(), 3), "{second:?}");
    }
}

/// The next upstream answered with an error. Neither its text nor its head may reach the stream, and the
/// stream must not look complete unless another upstream goes on with it.
#[tokio::test]
async fn a_resumed_stream_never_holds_the_error_of_the_next_upstream() {
    for status in ["400 Bad Request", "404 Not Found", "500 Error", "502 Bad", "503 Busy", "304 No"]
    {
        for framing in ["content-length: 5\r\n", ""] {
            let second = answer(status, framing, "error");
            let (received, _) = resumed_after(STREAMS[0][0], second).await;
            let text = String::from_utf8(received.body.clone()).unwrap();
            assert!(STREAMS[0].concat().starts_with(&text), "{status} {text}");
            assert!(!received.complete || received == whole(), "{status} {received:?}");
        }
    }
}

#[tokio::test]
async fn an_earlier_refusal_without_an_id_is_none_of_a_later_request() {
    let ending = Ending::EarlierRefusal(refusal("429 Too Many Requests").into_bytes());
    let head = head("1.1", "content-length: 0\r\n");
    let script = Script { head, body: Vec::new(), ending };
    let upstream = RawUpstream::start(move |_, _| script.clone()).await;
    let front = Front::start(&upstream, 1).await;
    let mut statuses = Vec::new();
    for request in 0..4 {
        let received = front.ask("1.1", RepeatPolicy::Once, &format!("late-{request}")).await;
        statuses.push(received.status);
    }
    assert_eq!(statuses, [200, 502, 200, 502]);
    assert_eq!(upstream.requests().len(), 4);
}
