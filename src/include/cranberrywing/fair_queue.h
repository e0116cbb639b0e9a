/// \file
/// Weighted max-min fairness between client accounts when a service is short
/// of capacity: deficit round robin queues with deadlines (design 3.8).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cranberrywing/concurrency_limit.h"
#include "cranberrywing/settings_snapshot.h"
#include "cranberrywing/types.h"

namespace cranberrywing {

struct QueuedRequest
{
  RequestId mRequest{};
  ServiceId mService;
  AccountId mAccount;
  TimePoint mDeadline{};
};

/// Not thread-safe; owned by the reducer.
class FairQueue
{
public:
  struct Options
  {
    /// Most requests that may wait per service.
    std::size_t mQueueLimit = 10'000;
    ConcurrencyLimit::Options mConcurrency = {};
    /// Reported mean utilization of a service's servers, if fresh; may be
    /// empty. See BackendHealth::Utilization.
    std::function<std::optional<double>(const ServiceId&, TimePoint)>
      mUtilization = {};
  };

  explicit FairQueue(Options aOptions);

  /// Sets weights and each service's concurrency limit.
  void Apply(const SettingsSnapshot& aSettings);

  /// Queues a request. False if it cannot be served before its deadline at
  /// the present rate of service, or if the queue is full: refuse it.
  bool Push(const QueuedRequest& aRequest, TimePoint aNow);
  /// The next request of the service to run, if its concurrency allows one;
  /// it counts as running until Finish.
  std::optional<QueuedRequest> Pop(const ServiceId& aService, TimePoint aNow);
  /// A running request of the service and account has ended.
  void Finish(const ServiceId& aService,
              const AccountId& aAccount,
              TimePoint aNow);
  /// Forgets a waiting request; false if it does not wait.
  bool Cancel(RequestId aRequest);
  /// Removes and returns requests that can no longer finish in time; to be
  /// called with each tick.
  std::vector<QueuedRequest> TakeExpired(TimePoint aNow);

  std::size_t Waiting(const ServiceId& aService) const;
  std::size_t Running(const ServiceId& aService) const;
  /// Requests of the service that an account of the greatest weight may have
  /// running at present; zero for an unknown service.
  double Level(const ServiceId& aService) const;

private:
  using Slot = std::uint32_t;
  static constexpr Slot kNoSlot = ~Slot{ 0 };

  struct ServiceQueue;

  /// Requests of one client account for one service.
  struct AccountQueue
  {
    Slot mFirst = kNoSlot;
    Slot mLast = kNoSlot;
    std::size_t mWaiting = 0;
    std::size_t mRunning = 0;
    /// Whether requests wait because as many run as the level allows.
    bool mIsHeld = false;
    /// Requests per round, at most 1.
    double mQuantum = 1;
    double mDeficit = 0;
    /// Ring of accounts with waiting requests that may run.
    AccountQueue* mPrevious = nullptr;
    AccountQueue* mNext = nullptr;
  };

  struct ServiceQueue
  {
    explicit ServiceQueue(ConcurrencyLimit::Options aOptions)
      : mLimit(aOptions)
    {
    }

    ConcurrencyLimit mLimit;
    std::unordered_map<AccountId, AccountQueue> mAccounts;
    /// Account whose turn it is; null if none may run a request.
    AccountQueue* mTurn = nullptr;
    std::size_t mWaiting = 0;
    /// Accounts with mIsHeld.
    std::size_t mHeld = 0;
    /// Sum of the quanta of accounts with waiting or running requests.
    double mBusyQuanta = 0;
    /// Level for which mIsHeld was last decided for all accounts.
    double mLevel = 0;
  };

  /// A waiting request, linked into its account's queue.
  struct Entry
  {
    QueuedRequest mRequest;
    ServiceQueue* mService = nullptr;
    AccountQueue* mAccount = nullptr;
    Slot mPrevious = kNoSlot;
    Slot mNext = kNoSlot;
  };

  ServiceQueue& FindService(const ServiceId& aService);
  AccountQueue& FindAccount(ServiceQueue& aService, const AccountId& aAccount);
  Slot TakeSlot();
  void Append(ServiceQueue& aService, AccountQueue& aAccount, Slot aSlot);
  /// Unlinks an entry and frees its slot; Review must follow.
  QueuedRequest Remove(Slot aSlot);
  /// Removes a request that will not run.
  QueuedRequest Drop(Slot aSlot);
  static void Activate(ServiceQueue& aService, AccountQueue& aAccount);
  static void Deactivate(ServiceQueue& aService, AccountQueue& aAccount);
  /// Requests of the account that may run at one time.
  static std::size_t MayRun(const ServiceQueue& aService,
                            const AccountQueue& aAccount);
  /// Requests of the service that may run at one time.
  static std::size_t MayRun(const ServiceQueue& aService);
  /// Decides whether the account is in the ring, held, or neither.
  static void UpdateRing(ServiceQueue& aService, AccountQueue& aAccount);
  /// UpdateRing, and tells the limit whether it holds a request.
  static void Review(ServiceQueue& aService,
                     AccountQueue& aAccount,
                     TimePoint aNow);
  static void ReviewAll(ServiceQueue& aService, TimePoint aNow);
  static AccountQueue& NextAccount(ServiceQueue& aService);
  static bool CanFinish(const ServiceQueue& aService,
                        const AccountQueue& aAccount,
                        TimePoint aDeadline,
                        TimePoint aNow);
  /// Requests that run before a new one of the account, itself included.
  static std::size_t CountAhead(const ServiceQueue& aService,
                                const AccountQueue& aAccount);
  void Steer(TimePoint aNow);

  Options mOptions;
  std::unordered_map<ServiceId, ServiceQueue> mServices;
  std::unordered_map<AccountId, double> mQuanta;
  double mDefaultQuantum = 1;
  std::vector<Entry> mEntries;
  std::vector<Slot> mFreeSlots;
  std::unordered_map<RequestId, Slot> mSlots;
  TimePoint mNextSteer{};
  /// No waiting request's deadline is earlier.
  TimePoint mEarliestDeadline = TimePoint::max();
};

} // namespace cranberrywing
