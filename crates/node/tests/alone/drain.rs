//! A graceful shutdown, with callers that go on sending requests.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    task::{self, spawn_local},
};
use http::{Client, OutgoingRequest};
use http_types::{Method, Response};

use crate::vm::Vm;

const JOB: &str = "5c0e7a21d94b36f8";
/// Limit on the time until requests are refused.
const TIME_LIMIT: Duration = Duration::from_millis(1_500);
const BODY: &str = r#"{"steps":[{"count":1}]}"#;

async fn send(client: &Client, addr: SocketAddr, method: Method) -> (u16, Response) {
    let body = if method == Method::Post { BODY.into() } else { Vec::new() };
    let path = format!("/q/{JOB}");
    let headers = vec![("host", "h".to_owned())];
    let timeout = Duration::from_secs(3);
    let request = OutgoingRequest { addr, method, path, headers, body, timeout };
    let (status, _, response) = client.send(request).await.expect("an answer");
    (status, response)
}

fn closes(response: &Response) -> bool {
    response.header("connection").is_some_and(|value| value == "close")
}

/// Guards against requests that are still undecided when the process ends, connections that callers
/// keep until then, and requests accepted too late to be answered.
#[test]
fn requests_are_answered_before_the_process_ends() {
    task::block_on(async {
        let vm = Rc::new(Vm::spawn("[bounds]\ngrace-s = 1").await);
        let shared = Rc::clone(&vm);
        let answer = move |incoming| node::answer(shared.running.node(), incoming);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let callers = Rc::new(platform::bind_callers(any, answer).await.unwrap());
        let (client, addr) = (Client::new(), callers.addr);
        // The store answers no longer: the submission may wait for it.
        vm.logs.held.set(true);
        let submitting = Client::new();
        let submission = spawn_local(async move { send(&submitting, addr, Method::Post).await });
        vm.appends.recv().await.unwrap();
        let (running, server) = (Rc::clone(&vm.running), Rc::clone(&callers));
        let closing = spawn_local(async move { running.close(&server).await });
        let refusal = async {
            loop {
                let (status, response) = send(&client, addr, Method::Get).await;
                assert!(closes(&response), "status {status}");
                assert!(!vm.running.node().ready());
                if status == 503 {
                    break response;
                }
                assert_eq!(status, 410, "the job is not durable");
            }
        };
        let refusal = timeout(TIME_LIMIT, refusal).await.expect("a refusal before the end");
        assert!(refusal.header("retry-after").is_some());
        closing.await;
        assert_eq!(callers.inflight(), 0);
        let (status, response) = submission.await;
        assert!(status == 504 && closes(&response), "status {status}");
    });
}
