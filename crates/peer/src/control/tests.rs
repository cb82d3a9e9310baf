use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use policy::member::{Member, State};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};

use super::*;

const KEY: &str = "control-key-0123456789";
const OTHER_KEY: &str = "other-key-0123456789";

type Client = ControlClient<Http2Channel<tonic::body::Body>>;

#[derive(Default)]
struct Handler {
    calls: AtomicU64,
    /// Time that the handler takes to reply to `pull_rules`.
    delay_ms: u64,
}

impl Handler {
    fn count(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
}

impl ControlHandler for Handler {
    async fn sync(&self, request: SyncRequest) -> SyncReply {
        self.count();
        SyncReply {
            members: request.members,
            rules: 1,
            homes: 2,
        }
    }

    async fn pull_rules(&self, request: PullRequest) -> PullReply {
        self.count();
        tokio::time::sleep(Duration::from_millis(self.delay_ms)).await;
        PullReply {
            revision: request.revision + 1,
            value: vec![7; 1_000_000],
        }
    }

    async fn pull_homes(&self, request: PullRequest) -> PullReply {
        self.count();
        PullReply {
            revision: request.revision + 2,
            value: Vec::new(),
        }
    }

    async fn claim_key(&self, request: ClaimRequest) -> ClaimReply {
        self.count();
        ClaimReply {
            outcome: proto::ClaimOutcome::Stored.into(),
            ticket: request.ticket,
            homes_revision: request.extra.into(),
        }
    }

    async fn exchange_home(&self, message: HomeMessage) -> Option<HomeMessage> {
        self.count();
        (message.slot == 63).then_some(message)
    }

    async fn void_ticket(&self, request: VoidRequest) -> VoidReply {
        self.count();
        VoidReply {
            voided: request.ticket.is_some(),
        }
    }
}

fn keys(accepted: &[&str]) -> Keys {
    Keys::new(accepted).expect("keys are valid")
}

/// Serves one connection over HTTP/2 with prior knowledge and connects to it.
async fn connect(handler: &Arc<Handler>, accepted: &[&str], client_key: &str) -> Client {
    let service = ControlService::new(Arc::clone(handler), keys(accepted));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("accepts");
        let serve = service_fn(move |request: Request<Incoming>| {
            let service = service.clone();
            async move {
                assert!(is_control(request.uri()));
                Ok::<_, std::convert::Infallible>(service.handle(request).await)
            }
        });
        hyper::server::conn::http2::Builder::new(TokioExecutor::new())
            .serve_connection(TokioIo::new(stream), serve)
            .await
    });
    let stream = TcpStream::connect(address).await.expect("connects");
    let (sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .expect("completes the handshake");
    tokio::spawn(connection);
    let origin = format!("http://{address}").parse().expect("is a URI");
    ControlClient::new(
        Http2Channel::new(sender, |body| body),
        origin,
        keys(&[client_key]),
    )
}

/// Guards against an RPC that reaches the wrong method or loses fields.
#[tokio::test]
async fn every_rpc_reaches_its_handler() {
    let handler = Arc::new(Handler::default());
    let mut client = connect(&handler, &[KEY], KEY).await;
    let member = Arc::new(Member {
        vm: "vm-1".into(),
        incarnation: 9,
        version: 3,
        state: State::Draining,
        data_centre: "chia".into(),
        call_address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        gossip_address: SocketAddr::from(([10, 0, 0, 1], 7001)),
        service: Some("despacho".into()),
        slots: 35,
        cold: true,
        unreachable: vec!["madrid".into()],
    });
    let request = SyncRequest {
        members: vec![member; 15_000],
    };
    let reply = client.sync(&request).await.expect("answers");
    assert_eq!(
        (reply.members, reply.rules, reply.homes),
        (request.members, 1, 2)
    );
    let pull = PullRequest { revision: 5 };
    let rules = client.pull_rules(pull).await.expect("answers");
    assert_eq!((rules.revision, rules.value.len()), (6, 1_000_000));
    let homes = client.pull_homes(pull).await.expect("answers");
    assert_eq!(homes.revision, 7);
    let ticket = Some(proto::Ticket {
        vm: "vm-1".to_owned(),
        incarnation: 9,
        id: vec![1; 16],
        expires_ms: 8,
    });
    let claim = ClaimRequest {
        ticket: ticket.clone(),
        extra: 4,
        ..ClaimRequest::default()
    };
    let claimed = client.claim_key(claim).await.expect("answers");
    assert_eq!(
        (claimed.ticket, claimed.homes_revision),
        (ticket.clone(), 4)
    );
    let message = HomeMessage {
        slot: 63,
        sequence: 9,
        ..HomeMessage::default()
    };
    let reply = client
        .exchange_home(message.clone())
        .await
        .expect("answers");
    assert_eq!(reply, message);
    let void = VoidRequest { ticket };
    assert!(client.void_ticket(void).await.expect("answers").voided);
    assert_eq!(handler.calls.load(Ordering::Relaxed), 6);
}

/// Guards against requests that reach the handler without an accepted key, and against a key
/// rotation that locks daemons out.
#[rstest]
#[case::same(&[KEY], KEY, true)]
#[case::rotating(&[OTHER_KEY, KEY], KEY, true)]
#[case::other(&[KEY], OTHER_KEY, false)]
#[tokio::test]
async fn only_accepted_keys_reach_the_handler(
    #[case] accepted: &[&str],
    #[case] client_key: &str,
    #[case] expected: bool,
) {
    let handler = Arc::new(Handler::default());
    let mut client = connect(&handler, accepted, client_key).await;
    let outcome = client.pull_homes(PullRequest { revision: 1 }).await;
    if expected {
        assert_eq!(outcome.map(|reply| reply.revision), Ok(3));
    } else {
        assert_eq!(outcome, Err(ControlError::Unauthenticated));
    }
    assert_eq!(handler.calls.load(Ordering::Relaxed), u64::from(expected));
}

/// Guards against a client that waits forever for a peer that does not reply.
#[tokio::test]
async fn rpc_ends_at_its_timeout() {
    let handler = Arc::new(Handler {
        delay_ms: 60_000,
        ..Handler::default()
    });
    let client = connect(&handler, &[KEY], KEY).await;
    let mut client = client.with_timeout(Duration::from_millis(20));
    let outcome = client.pull_rules(PullRequest { revision: 1 }).await;
    assert_eq!(outcome, Err(ControlError::Timeout));
}
