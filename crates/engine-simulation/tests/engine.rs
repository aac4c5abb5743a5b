//! Tests of the backend models: caching, order by urgency, queues, memory.

use engine_simulation::{
    Engine, EngineOutput, Job, PlainAdmission, PlainBackend, PrefixBlock, PrefixCache, Site,
};
use quickcheck::quickcheck;

fn prompt(blocks: &[(u64, u64)]) -> Vec<PrefixBlock> {
    blocks.iter().map(|(key, tokens)| PrefixBlock { key: *key, tokens: *tokens }).collect()
}

fn job(id: u64, urgency: u8, blocks: &[(u64, u64)]) -> Job {
    Job { id, urgency, prompt: prompt(blocks), events: 2 }
}

/// Runs an engine until it is idle. Returns the total time in ms and all outputs.
fn run_until_idle(engine: &mut Engine) -> (f64, Vec<EngineOutput>) {
    let (mut out, mut time) = (Vec::new(), 0.0);
    while !engine.is_idle() {
        time += engine.step(&mut out);
    }
    (time, out)
}

#[test]
fn a_cached_prefix_is_not_prefilled_again() {
    let mut engine = Engine::new(Site::reference(1.0).engine);
    assert!(engine.offer(job(1, 5, &[(1, 2520), (2, 3780), (3, 2890)])));
    let (first, _) = run_until_idle(&mut engine);
    assert!(engine.offer(job(2, 5, &[(1, 2520), (2, 3780), (4, 2890)])));
    let (second, out) = run_until_idle(&mut engine);
    let prefilled: u64 =
        out.iter().map(|o| if let EngineOutput::Prefilled { tokens, .. } = o { *tokens } else { 0 }).sum();
    assert_eq!(prefilled, 2890);
    assert!(first - second > 100.0, "{first} and {second} ms");
}

#[test]
fn more_urgent_requests_are_prefilled_first() {
    let mut engine = Engine::new(Site::reference(1.0).engine);
    for (id, urgency) in [(1, 5), (2, 3), (3, 9)] {
        engine.offer(job(id, urgency, &[(id, 6000)]));
    }
    let (_, out) = run_until_idle(&mut engine);
    let firsts: Vec<u64> = out
        .iter()
        .filter_map(|o| if let EngineOutput::Event { id, first: true, .. } = o { Some(*id) } else { None })
        .collect();
    assert_eq!(firsts, [2, 1, 3]);
}

#[test]
fn a_plain_backend_rejects_calls_beyond_its_queue() {
    let mut backend = PlainBackend::new(1, 1);
    assert_eq!(backend.offer(1), PlainAdmission::Running);
    assert_eq!(backend.offer(2), PlainAdmission::Queued);
    assert_eq!(backend.offer(3), PlainAdmission::Rejected);
    assert_eq!((backend.finish(), (backend.running(), backend.queued())), (Some(2), (1, 0)));
}

quickcheck! {
    fn used_memory_equals_the_distinct_blocks_of_pinned_prompts(prompts: Vec<Vec<u8>>, steps: Vec<bool>) -> bool {
        let mut cache = PrefixCache::new(200);
        let mut pinned: Vec<Vec<PrefixBlock>> = Vec::new();
        let mut prompts = prompts.into_iter();
        for pins in steps {
            if !pins && !pinned.is_empty() {
                cache.unpin(&pinned.remove(0));
            } else if let Some(keys) = prompts.next() {
                let mut keys: Vec<u64> = keys.into_iter().map(u64::from).take(4).collect();
                keys.dedup();
                keys.sort();
                keys.dedup();
                let next = prompt(&keys.iter().map(|key| (*key, 10 + key % 7)).collect::<Vec<_>>());
                if cache.fits(&next, 0) {
                    cache.pin(&next);
                    pinned.push(next);
                }
            }
            let mut distinct: Vec<PrefixBlock> = pinned.concat();
            distinct.sort_by_key(|block| block.key);
            distinct.dedup_by_key(|block| block.key);
            let used: u64 = distinct.iter().map(|block| block.tokens).sum();
            if cache.used_tokens() != used || cache.is_over_capacity() {
                return false;
            }
        }
        true
    }

    fn each_accepted_job_sends_all_its_events(sizes: Vec<u16>) -> bool {
        let mut spec = Site::reference(1.0).engine;
        spec.kv_capacity_tokens = 30_000;
        let mut engine = Engine::new(spec);
        let mut expected = 0;
        for (index, size) in sizes.iter().enumerate() {
            let id = index as u64;
            expected += usize::from(engine.offer(job(id, (size % 10) as u8, &[(id, 1 + u64::from(size % 9000))]))) * 2;
        }
        let (_, out) = run_until_idle(&mut engine);
        out.iter().filter(|o| matches!(o, EngineOutput::Event { .. })).count() == expected
    }
}
