//! Heads are encoded and decoded without change; truncated or invalid ones are errors.

use lentilshift_wire::{AnswerHead, CallHead, HeaderList, decode, encode};
use limit::LoadReport;
use model::{AttemptId, CallImportance, LoadNews, RefusalReason, RequestId, RunVerdict};
use proptest::prelude::*;

fn call_head(bits: u128, path: String, once: bool, length: Option<u64>) -> CallHead {
    CallHead {
        request: RequestId::from_random(bits),
        attempt: AttemptId::from_random(!bits),
        service: "registry".into(),
        call: "look-up".into(),
        team: once.then(|| "clubs".into()),
        team_weight: 200,
        importance: CallImportance::High,
        call_importance: CallImportance::Normal,
        mark: None,
        depth: 3,
        deadline_left_ms: 800,
        allowance: 2,
        once,
        idempotent: !once,
        method: "GET".to_owned(),
        path,
        headers: HeaderList::default(),
        body_bytes: length,
        may_move: once,
        news_count: 2,
        news: vec![news(); 2],
    }
}

fn news() -> LoadNews {
    LoadNews {
        vm: LoadNews::digest_of(&"registry-3".into()),
        busy: 400,
        limit: u16::MAX,
        slowness: 251,
        age_ms: 300,
    }
}

fn answer_head(call: &CallHead, verdict: RunVerdict) -> AnswerHead {
    AnswerHead {
        request: call.request,
        attempt: call.attempt,
        verdict,
        refusal: (verdict == RunVerdict::NotRun).then_some(RefusalReason::Overloaded),
        refused_by: Some(call.service.clone()),
        retry_after_ms: 250,
        allowance_left: 1,
        status: 503,
        headers: HeaderList::default(),
        body_bytes: call.body_bytes,
        load: LoadReport {
            slowness: 250,
            news: vec![news(); 4],
            ..LoadReport::default()
        },
        threshold_reports: Vec::new(),
        run_ms: 7,
        mark: None,
        send_to: Some("registry-2".into()),
        is_suspect: false,
        is_overload_failure: true,
    }
}

/// Messages between data centres carry few figures for their length, which rests on this bound.
#[test]
fn figures_of_a_vm_take_few_bytes() {
    let bytes = encode(&news()).unwrap();
    assert!(bytes.len() as u64 <= LoadNews::MAX_BYTES);
}

proptest! {
    #[test]
    fn call_heads_round_trip(
        bits in any::<u128>(),
        path in ".{0,80}",
        once in any::<bool>(),
        length in any::<Option<u64>>(),
    ) {
        let head = call_head(bits, path, once, length);
        let bytes = encode(&head).unwrap();
        prop_assert_eq!(decode::<CallHead>(&bytes).unwrap(), head);
    }

    #[test]
    fn answer_heads_round_trip(bits in any::<u128>(), verdict in 0..3_usize) {
        let verdicts = [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran];
        let call = call_head(bits, "/".to_owned(), false, None);
        let head = answer_head(&call, verdicts[verdict]);
        let bytes = encode(&head).unwrap();
        prop_assert_eq!(decode::<AnswerHead>(&bytes).unwrap(), head);
    }

    #[test]
    fn truncated_head_is_an_error(bits in any::<u128>(), fraction in 0.0..1.0_f64) {
        let bytes = encode(&call_head(bits, "/records/7".to_owned(), true, Some(4))).unwrap();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
        let truncated_len = (bytes.len() as f64 * fraction) as usize;
        prop_assert!(decode::<CallHead>(&bytes[..truncated_len]).is_err());
    }

    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<CallHead>(&bytes);
        let _ = decode::<AnswerHead>(&bytes);
    }
}
