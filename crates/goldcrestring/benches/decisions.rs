//! Benchmarks of server selection for a small fleet and for a fleet of the target size.

use criterion::{BenchmarkId, Criterion};
use goldcrestring::connection::{Announcement, BackendServers};
use goldcrestring::name::QueueName;
use goldcrestring::quantity::{BootId, Revision};
use goldcrestring::request::Router;
use goldcrestring::version::{
    Change, Configuration, Edit, Object, PoolSpec, QueueSpec, Spec, VmSpec,
};
use std::time::Duration;

const FLEET_SIZES: [usize; 2] = [12, 11_000];
const LATER: Duration = Duration::from_secs(1_000);

fn object(name: &str, spec: Spec) -> Object {
    Object { name: name.parse().expect("valid name"), labels: [].into(), spec }
}

fn router(servers: usize) -> Router {
    let mut objects = vec![
        object("pool", Spec::Pool(PoolSpec::default())),
        object("queue", Spec::Queue(QueueSpec::default())),
    ];
    let mut announced = BackendServers::default();
    for number in 0..servers {
        let name = format!("vm-{number}");
        objects.push(object(&name, Spec::Vm(VmSpec::default())));
        let announcement = Announcement {
            vm: name.parse().expect("valid id"),
            boot: BootId::new(1),
            sequence: 1,
            uptime_ms: 0,
            address: "127.0.0.1:1".parse().expect("valid address"),
            data_centre: "dc-1".parse().expect("valid name"),
            rack: "rack-1".parse().expect("valid name"),
            slots: 8,
            running: 0,
            is_leaving: false,
        };
        announced.handle_announcement(Duration::ZERO, LATER * 2, announcement);
    }
    let change = Change {
        change_id: "fleet".parse().expect("valid id"),
        expected_revision: None,
        edits: objects.into_iter().map(Edit::Put).collect(),
    };
    let mut configuration = Configuration::default();
    configuration.apply(Revision::new(1), &change).expect("valid change");
    let mut router = Router::new(1);
    router.rebuild(&configuration, &announced);
    router
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let queue: QueueName = "queue".parse().expect("valid name");
    let mut group = criterion.benchmark_group("choice-of-server");
    for servers in FLEET_SIZES {
        let mut router = router(servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                if let Ok(choice) = router.choose(LATER, &queue, &[]) {
                    router.finish(&choice.vm, None);
                }
            });
        });
    }
    group.finish();
    criterion.final_summary();
}
