use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::{Fault, Proxy};
use crate::net::TaskGroup;

/// Time within which bytes pass a proxy without faults, even on a slow machine.
const PASS_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a proxy whose faults have no effect: the soak would pass without having
/// tested anything.
#[tokio::test]
async fn a_cut_blocks_one_direction_and_a_reset_closes_both_sides() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let server = listener.local_addr().unwrap();
            let free = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = free.local_addr().unwrap();
            drop(free);
            let tasks = TaskGroup::default();
            let proxy = Proxy::start(address, server, &tasks).unwrap();
            let mut client = TcpStream::connect(address).await.unwrap();
            let (mut accepted, _) = listener.accept().await.unwrap();

            proxy.set_fault(Some(Fault::CutForward));
            client.write_all(b"a").await.unwrap();
            accepted.write_all(b"b").await.unwrap();
            let mut byte = [0];
            timeout(PASS_TIMEOUT, client.read_exact(&mut byte))
                .await
                .unwrap()
                .unwrap();
            assert_eq!(&byte, b"b");
            let blocked = timeout(Duration::from_millis(100), accepted.read(&mut byte)).await;
            assert!(blocked.is_err(), "nothing arrives at the server");

            proxy.set_fault(None);
            timeout(PASS_TIMEOUT, accepted.read_exact(&mut byte))
                .await
                .unwrap()
                .unwrap();
            assert_eq!(&byte, b"a");

            proxy.set_fault(Some(Fault::Reset));
            let ended = timeout(PASS_TIMEOUT, client.read(&mut byte)).await.unwrap();
            assert!(
                ended.is_err(),
                "the client gets a reset, not an orderly shutdown"
            );
            tasks.abort();
        })
        .await;
}
