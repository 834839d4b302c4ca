//! Randomised simulations of several dispatchers that exchange messages with delay, loss and
//! duplication while targets, owners and instances change. Guards against slots that leak or are
//! assigned twice, against second runs of non-idempotent calls, and against calls that end twice or
//! never.

mod fleet;

use fleet::{Faults, Fleet};
use proptest::{prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn fleet_reliable_messages(seed in any::<u64>(), instances in 3_usize..6) {
        let faults = Faults { views: true, ..Faults::default() };
        let mut fleet = Fleet::new(seed, instances, faults);
        fleet.check_all_owners = true;
        fleet.run(4_000);
        fleet.drain();
    }

    #[test]
    fn fleet_lost_and_repeated_messages(
        seed in any::<u64>(),
        instances in 3_usize..6,
        loss in 0.0..0.3,
        repeat in 0.0..0.2,
    ) {
        let faults = Faults { loss, repeat, views: true, ..Faults::default() };
        let mut fleet = Fleet::new(seed, instances, faults);
        fleet.run(4_000);
        fleet.drain();
    }

    #[test]
    fn fleet_lost_and_paused_instances(seed in any::<u64>(), loss in 0.0..0.1) {
        let faults = Faults { loss, repeat: 0.05, views: true, instances: true };
        let mut fleet = Fleet::new(seed, 5, faults);
        fleet.run(6_000);
        fleet.drain();
    }
}
