//! bronzespindle.
