//! Property tests over generated values whose seeds are fixed, so that every run is the same.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The most bytes from which one value is made.
const BYTES_MAX: usize = 2_048;

/// Checks a property of `count` values; the seed of a value that breaks it is printed.
pub(crate) fn check<T: TypeGenerator>(count: u64, property: impl Fn(&T)) {
    for seed in 0..count {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let bytes: Vec<u8> = (0..BYTES_MAX).map(|_| random.random()).collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let Some(value) = T::generate(&mut driver) else {
            continue;
        };
        let guard = SeedReport(seed);
        property(&value);
        std::mem::forget(guard);
    }
}

struct SeedReport(u64);

impl Drop for SeedReport {
    fn drop(&mut self) {
        eprintln!("the property fails for seed {}", self.0);
    }
}
