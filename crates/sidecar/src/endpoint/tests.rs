//! Guards against endpoints that send bytes without end, which would fill the memory of the daemon
//! or hold a slot until the deadline, and against late copies of responses that are taken for the
//! response to the next request on the connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::request::{self, ForwardedRequest};
use adapter::response::RunStatus;
use bytes::Bytes;
use policy::clock::SystemClock;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use super::{Exchange, Outgoing, Pool, SHARED_GROWTH_BYTES};
use crate::frame::Unknown;
use crate::memory::{Budget, MAX_BODY_BYTES, SMALL_BODY_BYTES};

const RESPONSE: &str = include_str!("../../../../platform/examples/answer.http");

/// A refusal without the id of its request.
const REFUSAL: &str = include_str!("../../../../platform/examples/refusal.http");

/// Longest time for which endless bytes may keep a call waiting. Calls have at least 700 ms.
const BOUND: Duration = Duration::from_millis(500);

/// Budget of the responses.
const HELD_BYTES: usize = 32 << 20;

fn encoded(id: &str) -> Vec<u8> {
    let forward = ForwardedRequest {
        id,
        method: "GET",
        target: "/",
        fields: b"",
        length: 0,
        left: Duration::from_secs(1),
        instance: "i-1",
        caller: "vitrina",
        organisation: None,
    };
    let mut bytes = Vec::new();
    request::encode(&forward, &mut bytes);
    bytes
}

async fn exchange(pool: &Pool, id: &str) -> Exchange {
    let outgoing = Outgoing {
        id,
        idempotent: true,
        body: &Bytes::new(),
    };
    pool.exchange(&SystemClock::new(), &outgoing, || Ok(encoded(id)))
        .await
}

/// Accepts a connection and reads one request from it.
async fn accept(listener: &TcpListener) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_request(&mut stream).await;
    stream
}

async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut request).await.unwrap() > 0);
    }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Returns the head of a response with further lines.
fn head(lines: &str) -> String {
    let (head, _) = RESPONSE.split_once("Content-Length").unwrap();
    format!("{}{lines}\r\n", head.replace("ID", "a"))
}

#[rstest]
#[case::informational("", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::head("HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789abcdef\r\n")]
#[case::one_field("HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789abcdef")]
#[case::body(&head(""), "0123456789abcdef")]
#[case::chunks(&head("Transfer-Encoding: chunked\r\n"), "10\r\n0123456789abcdef\r\n")]
#[case::chunk_extension(&head("Transfer-Encoding: chunked\r\n"), ";extension=0123456789abcdef")]
#[case::trailer(&(head("Transfer-Encoding: chunked\r\n") + "0\r\n"), "X-Filler: 0123456789abcdef\r\n")]
#[case::empty_lines("", "\r\n\r\n\r\n\r\n")]
#[case::responses_to_others("", &RESPONSE.replace("ID", "b"))]
#[tokio::test]
async fn a_response_without_end_fails_and_closes_the_connection(
    #[case] start: &str,
    #[case] repeated: &str,
) {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Pool::new(address, Budget::new(HELD_BYTES));
            let endless = async {
                let mut stream = accept(&listener).await;
                let _ = stream.write_all(start.as_bytes()).await;
                let part = repeated.repeat((64 << 10) / repeated.len());
                let mut sent = 0;
                while stream.write_all(part.as_bytes()).await.is_ok() {
                    sent += part.len();
                    assert!(sent < 2 * MAX_BODY_BYTES + (16 << 20), "still reading");
                }
            };
            let (outcome, ()) = timeout(BOUND * 10, async {
                tokio::join!(exchange(&pool, "a"), endless)
            })
            .await
            .expect("the connection is closed");
            assert!(
                matches!(outcome, Exchange::Failed(Unknown::Damaged)),
                "{outcome:?}"
            );
            assert!(pool.idle.borrow().is_empty());
            assert_eq!(pool.budget.held(), 0);
        })
        .await;
}

/// Guards against an endpoint whose bodies without a length and without an end fill the memory of the
/// VM, which ends the requests of all clients there (review/6).
#[rstest]
#[case::until_close(&head(""), "0123456789abcdef")]
#[case::chunks(&head("Transfer-Encoding: chunked\r\n"), "10\r\n0123456789abcdef\r\n")]
#[tokio::test]
async fn bodies_without_end_take_little_more_than_the_largest(
    #[case] start: &str,
    #[case] repeated: &str,
) {
    const CALLS: usize = 60;
    const MAX_HELD: usize = MAX_BODY_BYTES + SHARED_GROWTH_BYTES + CALLS * SMALL_BODY_BYTES;
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Rc::new(Pool::new(address, Budget::new(224 << 20)));
            let part = repeated.repeat((64 << 10) / repeated.len());
            let start = start.to_owned();
            spawn_local(async move {
                loop {
                    let mut stream = accept(&listener).await;
                    let (start, part) = (start.clone(), part.clone());
                    spawn_local(async move {
                        let _ = stream.write_all(start.as_bytes()).await;
                        while stream.write_all(part.as_bytes()).await.is_ok() {}
                    });
                }
            });
            let calls = (0..CALLS).map(|_| {
                let pool = Rc::clone(&pool);
                spawn_local(async move { exchange(&pool, "a").await })
            });
            let mut calls: Vec<_> = calls.collect();
            let mut most = 0;
            let mut failed = 0;
            // The others would take minutes, one after another.
            while failed < 3 {
                most = most.max(pool.budget.held());
                assert!(most <= MAX_HELD, "{most}");
                sleep(Duration::from_millis(2)).await;
                let (done, rest) = calls.into_iter().partition(JoinHandle::is_finished);
                calls = rest;
                for call in done {
                    let outcome: Exchange = call.await.unwrap();
                    assert!(
                        matches!(outcome, Exchange::Failed(Unknown::Damaged)),
                        "{outcome:?}"
                    );
                    failed += 1;
                }
            }
            assert!(most > MAX_BODY_BYTES, "{most}");
            for call in calls {
                call.abort();
                drop(call.await);
            }
            assert_eq!(pool.budget.held(), 0);
        })
        .await;
}

/// Guards against a bound on endless bodies that lets a sound endpoint send only one body of unknown
/// size at a time.
#[rstest]
#[case::short(10, 1 << 20)]
#[case::long(4, 3 << 20)]
#[tokio::test]
async fn bodies_of_unknown_size_grow_beside_each_other(
    #[case] calls: usize,
    #[case] length: usize,
) {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Rc::new(Pool::new(address, Budget::new(224 << 20)));
            let halves = Rc::new(Barrier::new(calls + 1));
            let endpoint = Rc::clone(&halves);
            spawn_local(async move {
                for _ in 0..calls {
                    let mut stream = accept(&listener).await;
                    let halves = Rc::clone(&endpoint);
                    spawn_local(async move {
                        stream.write_all(head("").as_bytes()).await.unwrap();
                        let half = vec![b'x'; length / 2];
                        stream.write_all(&half).await.unwrap();
                        halves.wait().await;
                        stream.write_all(&half).await.unwrap();
                    });
                }
            });
            let received = (0..calls).map(|_| {
                let pool = Rc::clone(&pool);
                spawn_local(async move { exchange(&pool, "a").await })
            });
            let received: Vec<_> = received.collect();
            let all_halves = async {
                while pool.budget.held() < calls * length / 2 {
                    sleep(Duration::from_millis(2)).await;
                }
            };
            let together = timeout(BOUND * 10, all_halves).await;
            assert!(together.is_ok(), "held {}", pool.budget.held());
            halves.wait().await;
            for call in received {
                let Exchange::Answered(_, body) = call.await.unwrap() else {
                    panic!("not answered")
                };
                assert_eq!(body.len(), length);
            }
        })
        .await;
}

/// Guards against a bound on endless bodies that also ends a whole one of the largest allowed size.
#[rstest]
#[tokio::test]
async fn a_whole_body_of_the_largest_size_passes_beside_an_endless_one(
    #[values(false, true)] is_second: bool,
) {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Rc::new(Pool::new(address, Budget::new(224 << 20)));
            spawn_local(async move {
                for call in 0..2 {
                    let mut stream = accept(&listener).await;
                    spawn_local(async move {
                        let _ = stream.write_all(head("").as_bytes()).await;
                        let part = vec![b'x'; 64 << 10];
                        let is_whole = call == usize::from(is_second);
                        let mut rest = if is_whole { MAX_BODY_BYTES } else { usize::MAX };
                        while rest > 0 && stream.write_all(&part).await.is_ok() {
                            rest -= part.len();
                        }
                    });
                }
            });
            let mut calls = Vec::new();
            for _ in 0..2 {
                let owner = Rc::clone(&pool);
                calls.push(spawn_local(async move { exchange(&owner, "a").await }));
                sleep(Duration::from_millis(20)).await;
            }
            let whole = calls.remove(usize::from(is_second)).await.unwrap();
            let Exchange::Answered(_, body) = whole else {
                panic!("{whole:?}")
            };
            assert_eq!(body.len(), MAX_BODY_BYTES);
        })
        .await;
}

/// Guards against responses that stay incomplete and exceed the limit together while others wait.
#[tokio::test]
async fn incomplete_responses_together_stay_under_one_limit() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Rc::new(Pool::new(address, Budget::new(HELD_BYTES)));
            let length = 6 << 20;
            let mut calls = Vec::new();
            for _ in 0..10 {
                let pool = Rc::clone(&pool);
                calls.push(tokio::task::spawn_local(async move {
                    exchange(&pool, "a").await
                }));
                let mut stream = accept(&listener).await;
                let head = head(&format!("Content-Length: {length}\r\n"));
                tokio::task::spawn_local(async move {
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(&vec![b'x'; length - 1]).await;
                    // The rest never comes.
                    std::future::pending::<()>().await;
                });
            }
            let mut most = 0;
            for _ in 0..50 {
                tokio::time::sleep(Duration::from_millis(10)).await;
                most = most.max(pool.budget.held());
                assert!(pool.budget.held() <= HELD_BYTES);
            }
            assert!(most >= length, "no response was received");
            assert!(calls.iter().all(|call| !call.is_finished()));
            for call in &calls {
                call.abort();
            }
        })
        .await;
}

/// Guards against many large responses that each keep their limit and together exceed the memory of
/// the VM, and against calls that fail although the response only has to wait for memory.
#[tokio::test]
async fn responses_wait_unread_until_there_is_memory_for_them() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Rc::new(Pool::new(address, Budget::new(HELD_BYTES)));
            let length = 6 << 20;
            let mut calls = Vec::new();
            let mut endpoints = Vec::new();
            for _ in 0..5 {
                let pool = Rc::clone(&pool);
                calls.push(tokio::task::spawn_local(async move {
                    let outcome = exchange(&pool, "a").await;
                    assert!(pool.budget.held() <= HELD_BYTES);
                    let Exchange::Answered(_, body) = outcome else {
                        panic!("{outcome:?}");
                    };
                    // The body is held for a while, as by a client that reads.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    body.len()
                }));
            }
            let mut streams = Vec::new();
            for _ in 0..5 {
                streams.push(accept(&listener).await);
            }
            for mut stream in streams {
                let head = head(&format!("Content-Length: {length}\r\n"));
                endpoints.push(tokio::task::spawn_local(async move {
                    stream.write_all(head.as_bytes()).await.unwrap();
                    stream.write_all(&vec![b'x'; length]).await.unwrap();
                    stream
                }));
            }
            for call in calls {
                assert_eq!(call.await.unwrap(), length);
            }
            assert_eq!(pool.budget.held(), 0);
        })
        .await;
}

/// Guards against a late refusal without an id that ends the next request on the connection as not
/// run, although the endpoint runs it.
#[tokio::test]
async fn a_late_response_without_an_id_is_not_the_next_ones() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Pool::new(address, Budget::new(HELD_BYTES));
            let endpoint = async {
                let mut stream = accept(&listener).await;
                let response = RESPONSE.replace("ID", "a");
                stream.write_all(response.as_bytes()).await.unwrap();
                read_request(&mut stream).await;
                stream.write_all(REFUSAL.as_bytes()).await.unwrap();
                stream
            };
            let calls = async {
                let first = exchange(&pool, "a").await;
                assert!(matches!(first, Exchange::Answered(..)), "{first:?}");
                exchange(&pool, "b").await
            };
            let (_stream, second) = tokio::join!(endpoint, calls);
            assert!(
                matches!(second, Exchange::Failed(Unknown::Damaged)),
                "{second:?}"
            );
        })
        .await;
}

/// Returns the endpoint's own refusal of the request with an id.
fn refusal_of(id: &str) -> String {
    let (status, rest) = REFUSAL.split_once("\r\n").unwrap();
    let (_, response) = RESPONSE.split_once("\r\n").unwrap();
    let field = response.split_once("\r\n").unwrap().0.replace("ID", id);
    format!("{status}\r\n{field}\r\n{rest}")
}

/// Reads one request on each step of an open connection and writes the next bytes.
async fn respond(listener: &TcpListener, steps: &[String]) -> TcpStream {
    let mut stream = accept(listener).await;
    for (index, step) in steps.iter().enumerate() {
        if index > 0 {
            read_request(&mut stream).await;
        }
        stream.write_all(step.as_bytes()).await.unwrap();
    }
    stream
}

/// Guards against a caller that is told that its call has not run because the endpoint wrote an
/// earlier refusal once more, while it runs the call.
#[rstest]
#[case::the_response_follows(&refusal_of("a"), true)]
#[case::no_response_follows(&refusal_of("a"), false)]
#[case::without_an_id(REFUSAL, false)]
#[case::without_an_id_and_the_response_follows(REFUSAL, true)]
#[case::twice(&refusal_of("a").repeat(2), false)]
#[case::then_without_an_id(&(refusal_of("a") + REFUSAL), false)]
#[tokio::test]
async fn an_earlier_refusal_that_is_repeated_does_not_end_the_next_call(
    #[case] repeated: &str,
    #[case] followed: bool,
) {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Pool::new(address, Budget::new(HELD_BYTES));
            let mut second = repeated.to_owned();
            if followed {
                second += &RESPONSE.replace("ID", "b");
            }
            let steps = [refusal_of("a"), second];
            let endpoint = async { drop(respond(&listener, &steps).await) };
            let calls = async {
                let first = exchange(&pool, "a").await;
                assert!(is_not_run(&first), "{first:?}");
                exchange(&pool, "b").await
            };
            let ((), second) = tokio::join!(endpoint, calls);
            assert!(!is_not_run(&second), "{second:?}");
            if followed && repeated != REFUSAL {
                assert!(matches!(second, Exchange::Answered(..)), "{second:?}");
            }
            assert!(pool.idle.borrow().is_empty());
        })
        .await;
}

/// Guards against a repeated refusal that ends the same call when it comes back to the endpoint: its
/// id is that of the call.
#[tokio::test]
async fn a_call_that_was_refused_comes_back_on_another_connection() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Pool::new(address, Budget::new(HELD_BYTES));
            let refused = [refusal_of("a")];
            let answered = [RESPONSE.replace("ID", "a")];
            let endpoint = async {
                let mut first = respond(&listener, &refused).await;
                let second = respond(&listener, &answered).await;
                first.write_all(refusal_of("a").as_bytes()).await.unwrap();
                (first, second)
            };
            let calls = async {
                let first = exchange(&pool, "a").await;
                assert!(is_not_run(&first), "{first:?}");
                exchange(&pool, "a").await
            };
            let both = timeout(BOUND, async { tokio::join!(endpoint, calls) });
            let (_streams, second) = both.await.expect("a second connection is opened");
            assert!(matches!(second, Exchange::Answered(..)), "{second:?}");
        })
        .await;
}

/// Guards against a refusal without an id that ends a call on a fresh connection after a response to
/// another request, which shows that the endpoint is confused.
#[tokio::test]
async fn a_refusal_without_an_id_after_a_stray_response_is_not_believed() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listener().await;
            let pool = Pool::new(address, Budget::new(HELD_BYTES));
            let steps = [refusal_of("b") + REFUSAL];
            let endpoint = async { drop(respond(&listener, &steps).await) };
            let ((), outcome) = tokio::join!(endpoint, exchange(&pool, "a"));
            assert!(matches!(outcome, Exchange::Failed(_)), "{outcome:?}");
        })
        .await;
}

fn is_not_run(exchange: &Exchange) -> bool {
    matches!(exchange, Exchange::Answered(response, _) if response.run_status == RunStatus::NotRun)
}

/// Guards against a response that is passed on as complete although the endpoint stopped within its
/// head or its body and closed the connection.
#[rstest]
#[case::with_a_length(RESPONSE.replace("ID", "a"))]
#[case::in_chunks(head("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n")]
#[case::after_an_interim_response(
    "HTTP/1.1 102 Processing\r\n\r\n".to_owned() + &RESPONSE.replace("ID", "a")
)]
#[tokio::test]
async fn a_response_that_stops_early_is_not_complete(
    #[case] response: String,
    #[values(false, true)] reused: bool,
) {
    LocalSet::new()
        .run_until(async {
            for end in 0..response.len() {
                let (listener, address) = listener().await;
                let pool = Pool::new(address, Budget::new(HELD_BYTES));
                let mut steps = vec![response[..end].to_owned()];
                if reused {
                    steps.insert(0, RESPONSE.replace("ID", "z"));
                }
                let endpoint = async { drop(respond(&listener, &steps).await) };
                let calls = async {
                    if reused {
                        exchange(&pool, "z").await;
                    }
                    exchange(&pool, "a").await
                };
                let ((), outcome) = tokio::join!(endpoint, calls);
                assert!(matches!(outcome, Exchange::Failed(_)), "{end}: {outcome:?}");
            }
        })
        .await;
}

/// Guards against a response without a length that is passed on as complete although its head
/// stopped early or its connection was reset.
#[tokio::test]
async fn a_response_without_a_length_needs_its_whole_head_and_an_orderly_close() {
    LocalSet::new()
        .run_until(async {
            let head = head("");
            for end in [0, 12, head.len() - 2, head.len() - 1] {
                let (listener, address) = listener().await;
                let pool = Pool::new(address, Budget::new(HELD_BYTES));
                let steps = [head[..end].to_owned()];
                let endpoint = async { drop(respond(&listener, &steps).await) };
                let ((), outcome) = tokio::join!(endpoint, exchange(&pool, "a"));
                assert!(matches!(outcome, Exchange::Failed(_)), "{end}: {outcome:?}");
            }
            let (listener, address) = listener().await;
            let pool = Pool::new(address, Budget::new(HELD_BYTES));
            let steps = [head + "bo"];
            let endpoint = async { soak::net::reset(respond(&listener, &steps).await) };
            let ((), outcome) = tokio::join!(endpoint, exchange(&pool, "a"));
            assert!(matches!(outcome, Exchange::Failed(_)), "{outcome:?}");
        })
        .await;
}
