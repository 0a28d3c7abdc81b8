//! Malformed and oversized request bodies are rejected with the matching status,
//! and no handler gets to act on them.

use std::{cell::Cell, rc::Rc};

use async_std::{
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use http::Response;

struct Case {
    name: &'static str,
    head: &'static str,
    body: &'static str,
    status: &'static str,
}

#[test]
fn bad_bodies_are_refused() {
    let cases = [
        Case {
            name: "too large by its own word",
            head: "content-length: 4194305",
            body: "",
            status: "HTTP/1.1 413",
        },
        Case { name: "cut off", head: "content-length: 10", body: "12345", status: "HTTP/1.1 400" },
        Case { name: "not JSON", head: "content-length: 5", body: "12 x ", status: "HTTP/1.1 400" },
    ];
    task::block_on(async {
        let accepted = Rc::new(Cell::new(0));
        let count = Rc::clone(&accepted);
        let server = http::bind(([127, 0, 0, 1], 0).into(), move |req| {
            let count = Rc::clone(&count);
            async move {
                Some(match req.decode::<u64>() {
                    Ok(_) => {
                        count.set(count.get() + 1);
                        Response::new(200, "text/plain", "taken")
                    }
                    Err(refusal) => refusal,
                })
            }
        });
        let server = server.await.unwrap();
        for case in cases {
            let mut stream = TcpStream::connect(server.addr).await.unwrap();
            let request =
                format!("POST / HTTP/1.1\r\nhost: x\r\n{}\r\n\r\n{}", case.head, case.body);
            stream.write_all(request.as_bytes()).await.unwrap();
            stream.shutdown(std::net::Shutdown::Write).unwrap();
            let mut response = String::new();
            stream.read_to_string(&mut response).await.unwrap();
            assert!(response.starts_with(case.status), "{}: {response}", case.name);
        }
        assert_eq!(accepted.get(), 0);
    });
}
