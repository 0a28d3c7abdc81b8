//! A call runs to its end when the caller disconnects halfway.

use std::{cell::Cell, future::pending, rc::Rc, time::Duration};

use async_std::{channel, future::timeout, task};
use wire::{Link, Method};

/// Time limit for the test, so that a fault does not make it hang.
const WATCHDOG: Duration = Duration::from_secs(20);
/// Number of calls made on other connections before the first call may continue.
const PINGS: usize = 20;

#[test]
fn a_caller_that_hangs_up_does_not_stop_a_call() {
    task::block_on(async {
        let (started, wait_started) = channel::unbounded::<()>();
        let (release, wait_release) = channel::unbounded::<()>();
        let (finished, wait_finished) = channel::unbounded::<()>();
        let calls = Rc::new(Cell::new(0));
        let count = Rc::clone(&calls);
        let server = wire::bind(([127, 0, 0, 1], 0).into(), move |method, body| {
            let (started, wait_release) = (started.clone(), wait_release.clone());
            let (finished, count) = (finished.clone(), Rc::clone(&count));
            Box::pin(async move {
                if method == Method::Lookup {
                    return Ok(body);
                }
                started.send(()).await.map_err(|e| e.to_string())?;
                wait_release.recv().await.map_err(|e| e.to_string())?;
                count.set(count.get() + 1);
                finished.send(()).await.map_err(|e| e.to_string())?;
                pending().await
            })
        });
        let server = server.await.unwrap();
        let link = Link::new(server.addr);
        let call = async {
            let limit = Duration::from_secs(3600);
            let _: wire::Result<u64> = link.call(Method::Beat, &1_u64, limit).await;
        };
        // The caller disconnects once the call has started.
        futures::future::select(Box::pin(call), Box::pin(wait_started.recv())).await;
        drop(link);
        // Further calls complete, so by now the server has noticed the disconnect.
        for _ in 0..PINGS {
            let ping = Link::new(server.addr);
            let _: u64 =
                ping.call(Method::Lookup, &1_u64, Duration::from_secs(3600)).await.unwrap();
        }
        release.send(()).await.unwrap();
        drop(release);
        // If the call was cancelled, `finished` is never sent.
        drop(server);
        let finished = timeout(WATCHDOG, wait_finished.recv()).await;
        finished.expect("the call was stopped halfway").unwrap();
        assert_eq!(calls.get(), 1);
    });
}
