//! Real proxies between the load generator and the lab's machines on sockets.

mod common;
use async_executor::LocalExecutor;
use common::*;
use futures_lite::future;
use notchdoor_lab::scenario;
use notchdoor_load::arrivals::Arrivals;
use notchdoor_load::codec::Protocol;
use notchdoor_load::run::{run, Options};
use notchdoor_rig::stand::host::{Seen, Stand};
use notchdoor_rig::stand::settings::config;
use std::rc::Rc;
use std::sync::mpsc::channel;
use std::time::Duration;

/// A calm day of two proxies and four workers, a few seconds of it: served, by what the stand-ins made, with no command
/// that no client sent and no sign-off carried out twice, and nothing left at the end. The origin stops on the way.
#[test]
fn a_short_day_on_sockets_is_served_and_keeps_the_rules() {
    let set = [
        "proxies=2",
        "workers.count=4",
        "length_s=5",
        "warm_up_s=2",
        "load.share=0.6",
        "keys.count=60",
        "origin.headroom=8",
    ]
    .map(str::to_owned);
    let spec = scenario::load("calm", &set).unwrap().spec;
    let (tells, told) = channel();
    let (stops, stopped) = async_channel::bounded::<()>(1);
    let of_world = spec.clone();
    let world = std::thread::spawn(move || -> (Seen, usize) {
        let executor = Rc::new(LocalExecutor::new());
        let stand = Stand::start(&executor, &of_world, 1).unwrap();
        let proxies = (0..2).map(|p| (stand.registry(p).unwrap(), stand.known(p)));
        tells.send(proxies.collect::<Vec<_>>()).unwrap();
        future::block_on(executor.run(async {
            async_io::Timer::after(Duration::from_secs(4)).await;
            stand.stop_origin(Duration::from_millis(500));
            let _ = stopped.recv().await;
        }));
        (stand.seen(), stand.held())
    });
    let proxies: Vec<Proxy> = told
        .recv()
        .unwrap()
        .into_iter()
        .enumerate()
        .map(|(me, (registry, known))| {
            Proxy::of(registry, |listen| {
                config(&spec, me as u32, listen, registry, &known, (192, 1024)).to_string()
            })
        })
        .collect();
    let options = Options {
        targets: proxies.iter().map(|p| p.listen).collect(),
        protocol: Protocol::Resp,
        arrivals: Arrivals::Scenario,
        connections: 64,
        threads: 1,
        value_bytes: 100,
        manners: true,
        most_late: 5_000_000,
        quiet: true,
    };
    let (day, kept) = run(&spec, "calm", 1, &options).unwrap();
    stops.send_blocking(()).unwrap();
    let (seen, held) = world.join().unwrap();
    assert!(kept.due > 200 && kept.voided == 0, "{kept:?}");
    assert_eq!((seen.syntax, seen.ran_again, seen.falls), (0, 0, 0), "{seen:?}");
    assert!(seen.reads > 100 && seen.fetches > 10 && seen.ran > 5, "{seen:?}");
    assert!(day.score.whole > 0.5, "{:?} {:?} {seen:?}", day.score, day.counts);
    assert_eq!(held, 0, "{seen:?}");
}
