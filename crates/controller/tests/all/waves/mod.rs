//! Full waves over both example deployments, many seeds, with the platform's and the processes'
//! faults, judged by the independent checker over what took effect and what the entries believed.

mod entry;
mod fault;
mod judge;
mod stall;
mod world;

use primroseroute_fleet::wave::State;
use world::World;

/// Names each case: a deployment, and seeds of its faults.
macro_rules! waves {
    ($($(#[$doc:meta])* $name:ident: $folder:expr, $seeds:expr, $faults:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test(start_paused = true)]
        async fn $name() {
            for seed in $seeds {
                roll_out($folder, seed, $faults).await;
            }
        }
    )*};
}

waves! {
    gojo_beds_without_faults: "gojo-beds", [1], false;
    ikeoluwa_without_faults: "ikeoluwa", [1], false;
    /// Callers of every pool are served all along. The store goes down, loses answers and commits
    /// late; controllers are killed, and paused over a takeover; entries are cut off with an old
    /// view; workers and a rack are lost; operators race the wave. No instance may serve two pools
    /// at once, no planned step may leave a pool below its promise, and the wave must end.
    gojo_beds_under_faults: "gojo-beds", 1..=4, true;
    ikeoluwa_under_faults: "ikeoluwa", [5, 6, 7, 8, 60], true;
}

async fn roll_out(folder: &str, seed: u64, faults: bool) {
    let mut world = World::open(folder, seed).await;
    world.start_wave("w").await;
    if faults {
        fault::run(&mut world).await;
    }
    world.heal().await;
    let wave = world.until_ended("w").await;
    let journal = world.platform.journal();
    let breaches = judge::judge(&journal, &world.views(), &world.losses(), world.epoch());
    assert!(breaches.is_empty(), "{folder} seed {seed}: {breaches:?}");
    assert_eq!(wave.state, State::Done, "{folder} seed {seed}: {wave:?}");
    world.assert_all_maintained(&wave, seed);
}
