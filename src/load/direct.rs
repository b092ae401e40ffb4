//! Sends generations to engines without a daemon. The difference to a run through daemons is the
//! latency that the daemons add.

use super::RequestRecord;
use super::caller::{AttemptResult, Prompt, RequestOutcome, check_answer};
use spindle_engine::{Engine, GenerateRequest, Generation, GenerationEvent, HttpEngine};
use spindle_types::{Attempt, Model, RequestId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::Instant;

/// Distributes generations over engines in round-robin order.
#[derive(Debug)]
pub(super) struct DirectEngines {
    engine: HttpEngine,
    engines: Vec<SocketAddr>,
    next: AtomicUsize,
}

impl DirectEngines {
    pub(super) fn new(engines: Vec<SocketAddr>) -> Self {
        Self { engine: HttpEngine::new(), engines, next: AtomicUsize::default() }
    }

    /// Sends a generation once, without retries, and reads its answer.
    pub(super) async fn generate(
        &self,
        model: &Model,
        prompt: Prompt<'_>,
        intended_start: Instant,
        record: &mut RequestRecord,
    ) -> AttemptResult {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        let address = self.engines[index % self.engines.len()];
        let request = GenerateRequest {
            request: RequestId(index as u128),
            attempt: Attempt(1),
            model: model.clone(),
            adapter: None,
            prompt: prompt.as_received(),
            produced: Vec::new(),
            kv: None,
            max_tokens: prompt.max_tokens,
            priority: prompt.priority,
        };
        let mut stream = match self.engine.generate(address, &request).await {
            Ok(stream) => stream,
            Err(error) => return AttemptResult::Final(RequestOutcome::Lost, error.to_string()),
        };
        let mut content = String::new();
        loop {
            let chunk = match stream.next().await {
                GenerationEvent::Chunk(chunk) => chunk,
                GenerationEvent::Broken(error) => {
                    return AttemptResult::Final(RequestOutcome::Lost, error);
                }
            };
            record.tokens += u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
            content.extend(chunk.tokens.iter().map(String::as_str));
            record.record_tokens(
                intended_start.elapsed(),
                u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX),
            );
            if chunk.finish.is_some() {
                return check_answer(model, prompt, &content);
            }
        }
    }
}
