//! A call goes on to its end when the caller hangs up halfway.

use std::{cell::Cell, future::pending, rc::Rc, time::Duration};

use async_std::{channel, future::timeout, task};
use wire::{Link, Method};

/// Ends a test that hangs.
const WATCHDOG: Duration = Duration::from_secs(20);
/// Calls made on other connections before the first one may go on.
const PINGS: usize = 20;

#[test]
fn a_caller_that_hangs_up_does_not_stop_a_call() {
    task::block_on(async {
        let (begun, wait_begun) = channel::unbounded::<()>();
        let (release, wait_release) = channel::unbounded::<()>();
        let (ended, wait_ended) = channel::unbounded::<()>();
        let calls = Rc::new(Cell::new(0));
        let count = Rc::clone(&calls);
        let server = wire::bind(([127, 0, 0, 1], 0).into(), move |method, body| {
            let (begun, wait_release) = (begun.clone(), wait_release.clone());
            let (ended, count) = (ended.clone(), Rc::clone(&count));
            Box::pin(async move {
                if method == Method::Lookup {
                    return Ok(body);
                }
                begun.send(()).await.map_err(|e| e.to_string())?;
                wait_release.recv().await.map_err(|e| e.to_string())?;
                count.set(count.get() + 1);
                ended.send(()).await.map_err(|e| e.to_string())?;
                pending().await
            })
        });
        let server = server.await.unwrap();
        let link = Link::open(server.addr);
        let call = async {
            let limit = Duration::from_secs(3600);
            let _: wire::Result<u64> = link.call(Method::Beat, &1_u64, limit).await;
        };
        // The caller goes away once the call has begun.
        futures::future::select(Box::pin(call), Box::pin(wait_begun.recv())).await;
        drop(link);
        // Other calls go through, so the server has noticed by now.
        for _ in 0..PINGS {
            let ping = Link::open(server.addr);
            let _: u64 =
                ping.call(Method::Lookup, &1_u64, Duration::from_secs(3600)).await.unwrap();
        }
        release.send(()).await.unwrap();
        drop(release);
        // Without a task of its own the call is gone, and this ends at once.
        drop(server);
        let ended = timeout(WATCHDOG, wait_ended.recv()).await;
        ended.expect("the call was stopped halfway").unwrap();
        assert_eq!(calls.get(), 1);
    });
}
