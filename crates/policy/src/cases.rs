//! Property tests over generated values with fixed seeds, so that every run is identical.

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of random bytes from which one value is generated.
const BYTES_MAX: usize = 2_048;

/// Checks a property of `count` generated values. Prints the seed of a value for which it fails.
pub(crate) fn check<T: TypeGenerator>(count: u64, property: impl Fn(&T)) {
    for seed in 0..count {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let bytes: Vec<u8> = (0..BYTES_MAX).map(|_| random.random()).collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let Some(value) = T::generate(&mut driver) else {
            continue;
        };
        let guard = PrintSeedOnDrop(seed);
        property(&value);
        std::mem::forget(guard);
    }
}

/// Prints the seed when the property panics; on success it is forgotten instead of dropped.
struct PrintSeedOnDrop(u64);

impl Drop for PrintSeedOnDrop {
    fn drop(&mut self) {
        eprintln!("property failed for seed {}", self.0);
    }
}
