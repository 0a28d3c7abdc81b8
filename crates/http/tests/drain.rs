//! A draining server closes each connection after its next response, and counts a request until
//! the last byte of its response is written.

use std::{rc::Rc, time::Duration};

use async_std::{
    channel::bounded,
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use http::Response;

/// Size of a response that no socket buffer holds.
const LARGE: usize = 64 << 20;
/// Limit on the time until the server closes a connection.
const TIME_LIMIT: Duration = Duration::from_secs(5);

async fn connect(server: &http::Server) -> TcpStream {
    TcpStream::connect(server.addr).await.unwrap()
}

/// Sends a request on an open connection.
async fn send(mut stream: &TcpStream) {
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
}

/// Reads the next bytes, and all others with `to_end`.
async fn read(mut stream: &TcpStream, to_end: bool) -> Vec<u8> {
    let mut bytes = vec![0; 512];
    let length = stream.read(&mut bytes).await.unwrap();
    bytes.truncate(length);
    if to_end {
        let read = timeout(TIME_LIMIT, stream.read_to_end(&mut bytes)).await;
        read.expect("the server closes the connection").unwrap();
    }
    bytes
}

/// Guards against a process that exits while a slow caller still reads its response.
#[test]
fn a_request_is_in_flight_until_its_response_is_written() {
    task::block_on(async {
        let server = http::bind(([127, 0, 0, 1], 0).into(), |_| async {
            Some(Response::new(200, "text/plain", vec![b'x'; LARGE]))
        });
        let server = server.await.unwrap();
        server.drain();
        let [slow, broken] = [connect(&server).await, connect(&server).await];
        for stream in [&slow, &broken] {
            send(stream).await;
            read(stream, false).await;
        }
        assert_eq!(server.inflight(), 2, "two callers have read the head only");
        drop(broken);
        let rest = read(&slow, true).await;
        assert!(rest.len() > LARGE - 512, "{} bytes", rest.len());
        // The server notices a broken connection with its next write.
        while server.inflight() > 0 {
            task::yield_now().await;
        }
    });
}

/// Guards against callers that stay on a connection until the process is gone.
#[test]
fn a_draining_server_closes_connections_after_their_next_response() {
    struct Case {
        name: &'static str,
        /// Whether the request is received before the drain begins.
        received_before: bool,
        /// Whether an earlier request was answered on the connection.
        kept: bool,
    }
    let cases = [
        Case { name: "a new connection", received_before: false, kept: false },
        Case { name: "a kept connection", received_before: false, kept: true },
        Case { name: "a request in flight", received_before: true, kept: true },
    ];
    for case in cases {
        task::block_on(async {
            let (received, request_received) = bounded(1);
            let (allow, allowed) = bounded(1);
            let handles = Rc::new((received, allowed));
            let server = http::bind(([127, 0, 0, 1], 0).into(), move |_| {
                let handles = Rc::clone(&handles);
                async move {
                    handles.0.send(()).await.unwrap();
                    handles.1.recv().await.unwrap();
                    Some(Response::new(200, "text/plain", "done"))
                }
            });
            let server = server.await.unwrap();
            let stream = connect(&server).await;
            if case.kept {
                send(&stream).await;
                request_received.recv().await.unwrap();
                allow.send(()).await.unwrap();
                let head = String::from_utf8(read(&stream, false).await).unwrap();
                assert!(!head.contains("connection: close"), "{}: {head}", case.name);
            }
            if !case.received_before {
                server.drain();
            }
            send(&stream).await;
            request_received.recv().await.unwrap();
            server.drain();
            allow.send(()).await.unwrap();
            // Ends only if the server closes the connection.
            let response = String::from_utf8(read(&stream, true).await).unwrap();
            assert!(response.contains("connection: close"), "{}: {response}", case.name);
            assert!(response.ends_with("done"), "{}: {response}", case.name);
            assert_eq!(server.inflight(), 0, "{}", case.name);
        });
    }
}
