//! Complete waves in both example deployments, for several seeds, with faults of the platform and
//! of processes. The independent checker verifies the committed rows and the entries' views.

mod entry;
mod fault;
mod history;
mod pausable_client;
mod simulation;

use primroseroute_fleet::wave::State;
use simulation::Simulation;

/// Defines a named test per case: a deployment, and the seeds of its faults.
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
    /// Every pool is under load throughout. The store fails, loses responses and commits late;
    /// controllers are killed, or paused during a takeover; entries are partitioned with an old
    /// view; workers and a rack are lost; operators act concurrently with the wave. No instance may
    /// serve two pools at once, no planned step may leave a pool below its promise, and the wave
    /// must end.
    gojo_beds_under_faults: "gojo-beds", 1..=4, true;
    ikeoluwa_under_faults: "ikeoluwa", [5, 6, 7, 8, 60], true;
}

async fn roll_out(folder: &str, seed: u64, faults: bool) {
    let mut sim = Simulation::open(folder, seed).await;
    sim.start_wave("w").await;
    if faults {
        fault::run(&mut sim).await;
    }
    sim.clear_faults().await;
    let wave = sim.until_ended("w").await;
    let journal = sim.platform.journal();
    let breaches = history::check_history(&journal, &sim.views(), &sim.losses(), sim.epoch());
    assert!(breaches.is_empty(), "{folder} seed {seed}: {breaches:?}");
    assert_eq!(wave.state, State::Done, "{folder} seed {seed}: {wave:?}");
    sim.assert_all_maintained(&wave, seed);
}
