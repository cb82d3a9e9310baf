//! VMs with the real program, a store, and endpoints that a test supplies.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use adapter::standin;
use policy::fleet::{Announcement, State};
use soak::net::{self, TaskGroup};
use soak::run::network;
use soak::store::Store;
use soak::vm::{EndpointAddresses, RunContext, Vm};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Time between the heartbeats of an endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Starts two VMs. Each connection to the endpoint of one is served by `respond`.
pub fn start_vms<F: Future<Output = ()> + 'static>(
    tasks: &TaskGroup,
    directory: PathBuf,
    configuration: Vec<u8>,
    slots: u32,
    respond: impl Fn(TcpStream) -> F + Clone + 'static,
) -> Vec<Rc<Vm>> {
    let store = Rc::new(Store::default());
    tasks.spawn(Rc::clone(&store).run_expiry());
    store.write_configuration(configuration);
    let context = RunContext {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sapphiredoor")),
        directory,
        store,
        oracle: Rc::default(),
        tasks: tasks.clone(),
        network: network(),
        vms: 2,
        seed: 0,
    };
    let mut vms = Vec::new();
    for index in 0..context.vms {
        let vm = Vm::new(&context, index, 0).expect("the addresses are free");
        vm.write_settings(0).expect("the settings are written");
        vm.start().expect("the daemon starts");
        let addresses = vm.endpoint_addresses();
        let listener = net::bind(addresses.listen).expect("the address is free");
        let (group, respond) = (tasks.clone(), respond.clone());
        tasks.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                group.spawn(respond(stream));
            }
        });
        tasks.spawn(announce(addresses, vm.service(), vm.index, slots));
        vms.push(vm);
    }
    vms
}

async fn announce(addresses: EndpointAddresses, service: &'static str, index: usize, slots: u32) {
    for sequence in 1.. {
        let heartbeat = standin::encode_heartbeat(&Announcement {
            instance: format!("i-{index}").into(),
            service: service.into(),
            data_centre: "local".into(),
            address: addresses.announced,
            slots,
            state: State::Ready,
            cold: Duration::ZERO,
            started_ms: 1,
            sequence,
        });
        net::exchange(addresses.control, &heartbeat, Duration::from_secs(1)).await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Runs a test with a directory of its own, and ends its tasks.
pub fn run(name: &str, test: impl AsyncFnOnce(&TaskGroup, PathBuf)) {
    let process = std::process::id();
    let directory = std::env::temp_dir().join(format!("sapphiredoor-{process}-{name}"));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let tasks = TaskGroup::default();
    LocalSet::new().block_on(&runtime, test(&tasks, directory.clone()));
    tasks.abort();
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
}
