//! HTTP edge cases: malformed, slow and truncated messages.

use goldcrestring_wire::client::{CallError, Client, Reuse};
use goldcrestring_wire::codec;
use goldcrestring_wire::head::{check_request, check_response};
use goldcrestring_wire::http::{HttpRequest, HttpResponse, Method};
use goldcrestring_wire::message::{ConsensusRequest, LeaseRequest, LeaseResponse, RecordRequest};
use goldcrestring_wire::runtime::{sleep, spawn};
use goldcrestring_wire::server::{ServerSettings, serve};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    goldcrestring_wire::runtime::start(2).expect("runtime threads");
    smol::block_on(future)
}

/// Starts a server that answers each connection with fixed bytes and closes it.
async fn raw_server(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(response).await;
        }
    })
    .detach();
    address
}

/// Starts a server that echoes request bodies of up to 1000 bytes and panics on `/panic`.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let settings = ServerSettings {
        max_body_bytes: 1_000,
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..ServerSettings::default()
    };
    let handler = |request: HttpRequest, _| async move {
        assert_ne!(request.path, "/panic");
        HttpResponse::new(200).body(request.body)
    };
    spawn(serve(listener, settings, handler)).detach();
    address
}

/// Sends bytes and returns everything received until the connection ends.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("bytes sent");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn truncated_or_malformed_responses_are_never_accepted() {
    let responses: [&[u8]; 8] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\n\r\nno length at all",
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nfour",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-",
        b"HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"",
    ];
    block_on(async {
        for response in responses {
            let address = raw_server(response).await;
            let request = HttpRequest::new(Method::Post, "/").body("body");
            let result = Client::default().call(address, request, CALL_TIMEOUT, Reuse::Never).await;
            let is_lost = matches!(result, Err(CallError::NoResponse { .. }));
            assert!(is_lost, "{:?}: {result:?}", String::from_utf8_lossy(response));
        }
    });
}

#[test]
fn complete_responses_are_accepted() {
    let responses: [(&[u8], &[u8]); 3] = [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour", b"four"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", b"four"),
    ];
    block_on(async {
        for (response, body) in responses {
            let address = raw_server(response).await;
            let request = HttpRequest::new(Method::Get, "/");
            let response =
                Client::default().call(address, request, CALL_TIMEOUT, Reuse::Never).await.unwrap();
            assert_eq!(response.body, body);
        }
    });
}

#[test]
fn invalid_requests_get_a_problem_document() {
    let long = [b"GET / HTTP/1.1\r\nhost: a\r\nx: ".as_slice(), &[b'a'; 9_000]].concat();
    let cases: [(&[u8], &str); 13] = [
        (b"nonsense\r\n\r\n", "400"),
        (b"GET / HTTP/1.0\r\nhost: a\r\n\r\n", "505"),
        (b"GET / HTTP/1.1\r\n\r\n", "400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", "400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: \xff\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", "400"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "411"),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 1\r\n\r\n",
            "400",
        ),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n", "413"),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nslow", "408"),
        (b"GET / HTTP/1.1\r\nhost:", "408"),
        (&long, "431"),
    ];
    block_on(async {
        let address = echo_server().await;
        for (request, status) in cases {
            let response = exchange(address, request).await;
            let start = format!("HTTP/1.1 {status}");
            let prefix = String::from_utf8_lossy(&request[..request.len().min(80)]);
            assert!(response.starts_with(&start), "{prefix:?}: {response:?}");
            assert!(response.contains("application/problem+json"), "{response:?}");
        }
    });
}

#[test]
fn pipelined_requests_all_get_responses() {
    block_on(async {
        let address = echo_server().await;
        let first_request =
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none".as_slice();
        let second_request =
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\ntwo";
        let response = exchange(address, &[first_request, second_request].concat()).await;
        let first = response.find("one").expect("the first response");
        let second = response.find("two").expect("the second response");
        assert!(first < second);
    });
}

#[test]
fn continue_is_sent_when_expected_and_a_panic_ends_only_its_connection() {
    block_on(async {
        let address = echo_server().await;
        let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
            expect: 100-continue\r\nconnection: close\r\n\r\none";
        let response = exchange(address, request).await;
        assert!(response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{response:?}");
        assert_eq!(exchange(address, b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n").await, "");
        let request = HttpRequest::new(Method::Post, "/").body("still here");
        let response =
            Client::default().call(address, request, CALL_TIMEOUT, Reuse::Never).await.unwrap();
        assert_eq!(response.body, b"still here");
    });
}

#[test]
fn closed_pooled_connection_is_detected_before_use() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn(async move {
            // Each connection answers one request and is closed 20 ms later.
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
                sleep(Duration::from_millis(20)).await;
            }
        })
        .detach();
        let client = Client::default();
        for _ in 0..3 {
            let request = HttpRequest::new(Method::Get, "/");
            client.call(address, request, CALL_TIMEOUT, Reuse::Allowed).await.unwrap();
            sleep(Duration::from_millis(60)).await;
        }
    });
}

/// Guards against an order that a process sends after its permission has run out: it was suspended while
/// the connection was being opened.
#[test]
fn a_call_that_is_withdrawn_while_it_connects_is_not_sent() {
    block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a non-blocking listener");
        let address = listener.local_addr().expect("an address");
        let accepted = std::sync::Mutex::new(None);
        // The permission runs out when the connection is there.
        let may_send = || {
            *accepted.lock().expect("no panic") = listener.accept().ok();
            false
        };
        let request = HttpRequest::new(Method::Post, "/order");
        let client = Client::default();
        let result =
            client.call_while(address, request, CALL_TIMEOUT, Reuse::Never, may_send).await;
        assert!(matches!(result, Err(CallError::Withdrawn { .. })), "{result:?}");
        drop(client);
        let accepted = accepted.into_inner().expect("no panic");
        let (mut stream, _) = accepted.expect("the permission is checked once connected");
        stream.set_nonblocking(false).expect("a blocking stream");
        stream.set_read_timeout(Some(CALL_TIMEOUT)).expect("a timeout");
        let mut received = Vec::new();
        let _ = std::io::Read::read_to_end(&mut stream, &mut received);
        assert_eq!(received, b"");
    });
}

/// The same on a pooled connection, which stays usable.
#[test]
fn a_withdrawn_call_keeps_its_pooled_connection() {
    block_on(async {
        let address = echo_server().await;
        let client = Client::default();
        let request = |body: &str| HttpRequest::new(Method::Post, "/").body(body);
        let call = |body, may_send: fn() -> bool| {
            client.call_while(address, request(body), CALL_TIMEOUT, Reuse::Allowed, may_send)
        };
        assert_eq!(call("one", || true).await.expect("a response").body, b"one");
        let withdrawn = call("two", || false).await;
        assert!(withdrawn.is_err_and(|error| error.is_not_sent()));
        assert_eq!(call("three", || true).await.expect("a response").body, b"three");
    });
}

#[test]
fn decoders_never_panic_on_arbitrary_bytes() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { cases: 3_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(any::<u8>(), 0..300), |bytes| {
        let _ = check_request(&bytes);
        let _ = check_response(&bytes);
        let _ = codec::decode::<ConsensusRequest>(&bytes);
        let _ = codec::decode::<LeaseRequest>(&bytes);
        let _ = codec::decode::<LeaseResponse>(&bytes);
        let _ = codec::decode::<RecordRequest>(&bytes);
        let _ = codec::decode_json::<goldcrestring::version::Change>(&bytes);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn rejections_round_trip_through_the_codec() {
    let rejection =
        goldcrestring::version::Rejection::NotFound { object: "vm/vm-1".parse().unwrap() };
    let bytes = codec::encode(&rejection).unwrap();
    assert_eq!(codec::decode::<goldcrestring::version::Rejection>(&bytes).unwrap(), rejection);
}

/// Regression: each call in flight contained several copies of a 16 KiB read buffer, which the leader
/// copied for every order and poll, so that orders were delayed under load.
///
/// A leader polls each of 11,000 backend servers all the time within 256 MB, which is 23 KB each.
#[test]
fn a_call_in_flight_holds_no_read_buffer() {
    let client = Client::default();
    let address = "127.0.0.1:1".parse().expect("an address");
    let request = HttpRequest::new(Method::Get, "/");
    let call = client.call(address, request, CALL_TIMEOUT, Reuse::Allowed);
    let bytes = size_of_val(&call);
    assert!(bytes < 12_000, "a call takes {bytes} bytes");
}

/// Regression: a request that had timed out was still delivered once a partition healed, because
/// its connection was closed normally instead of reset.
#[test]
fn a_timed_out_request_resets_its_connection() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let accepted = spawn(async move { listener.accept().await.expect("a connection").0 });
        let request = HttpRequest::new(Method::Post, "/orders").body("six crocks");
        let response = Client::default()
            .call(address, request, Duration::from_millis(50), Reuse::Allowed)
            .await;
        assert!(matches!(response, Err(CallError::NoResponse { .. })));
        let mut stream = accepted.await;
        let mut received = Vec::new();
        let read = stream.read_to_end(&mut received).await;
        let error = read.expect_err("a reset connection");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    });
}
