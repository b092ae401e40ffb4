//! Tests of rollouts.
